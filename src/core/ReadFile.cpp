#include "core/ReadFile.h"

#include <array>
#include <filesystem>
#include <fstream>
#include <system_error>

namespace fescuewood {

namespace {

constexpr std::size_t ChunkBytes = 16 * 1024;

} // namespace

std::optional<std::string> readFile(const std::string &Path,
                                    std::size_t MaxBytes) {
  std::error_code Error;
  if (!std::filesystem::is_regular_file(Path, Error))
    return std::nullopt;
  std::ifstream File(Path, std::ios::binary);
  std::string Text;
  std::array<char, ChunkBytes> Chunk;
  // Reads to the end instead of using the file size: the file may be growing.
  while (File && Text.size() <= MaxBytes) {
    File.read(Chunk.data(), Chunk.size());
    Text.append(Chunk.data(), static_cast<std::size_t>(File.gcount()));
  }
  if (File.bad() || !File.eof() || Text.size() > MaxBytes)
    return std::nullopt;
  return Text;
}

} // namespace fescuewood
