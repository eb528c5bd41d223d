#include "core/ReadFile.h"

#include <filesystem>
#include <fstream>
#include <system_error>

namespace fescuewood {

std::optional<std::string> readFile(const std::string &Path,
                                    std::size_t MaxBytes) {
  std::error_code Error;
  if (!std::filesystem::is_regular_file(Path, Error))
    return std::nullopt;
  std::ifstream File(Path, std::ios::binary);
  // One byte more than allowed shows that the file is too large, whatever its
  // size was a moment ago.
  std::string Text(MaxBytes + 1, '\0');
  File.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(File.gcount()));
  if (File.bad() || !File.eof() || Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

} // namespace fescuewood
