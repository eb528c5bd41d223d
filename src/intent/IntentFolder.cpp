#include "intent/IntentFolder.h"

#include "core/ReadFile.h"
#include "intent/CompileIntent.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

namespace fs = std::filesystem;

/// Milliseconds since the Unix epoch, or 0 when the time cannot be read.
std::uint64_t modifiedMs(const fs::path &Path) {
  std::error_code Error;
  const fs::file_time_type Modified = fs::last_write_time(Path, Error);
  if (Error)
    return 0;
  const auto Since =
      std::chrono::file_clock::to_sys(Modified).time_since_epoch();
  const auto Ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(Since).count();
  return Ms < 0 ? 0 : static_cast<std::uint64_t>(Ms);
}

std::nullopt_t unreadable(const std::string &Path, std::string Detail,
                          Problems &Found) {
  report(Found, {ResultCode::FileUnreadable, {Path, 0}, "", std::move(Detail)});
  return std::nullopt;
}

} // namespace

std::optional<IntentFolder> readIntentFolder(const std::string &Path,
                                             Problems &Found) {
  std::error_code Error;
  fs::directory_iterator Entries(Path, Error);
  if (Error)
    return unreadable(Path, "expected a folder: " + Error.message(), Found);
  IntentFolder Folder;
  Folder.Bundle.Revision = modifiedMs(Path);
  std::size_t Bytes = 0;
  for (const fs::directory_entry &Entry : Entries) {
    const std::string Name = Entry.path().filename().string();
    if (!isIntentFileName(Name)) {
      Folder.Ignored.push_back(Name);
      continue;
    }
    std::optional<std::string> Text =
        readFile(Entry.path().string(), MaxBundleBytes);
    Bytes += Name.size() + (Text ? Text->size() : 0);
    if (!Text || Bytes > MaxBundleBytes ||
        Folder.Bundle.Files.size() == MaxBundleFiles) {
      return unreadable(
          Entry.path().string(),
          fmt::format("expected a readable file, and at most {} bytes in {} "
                      "files in the folder",
                      MaxBundleBytes, MaxBundleFiles),
          Found);
    }
    Folder.Bundle.Revision =
        std::max(Folder.Bundle.Revision, modifiedMs(Entry.path()));
    Folder.Bundle.Files.push_back({Name, std::move(*Text)});
  }
  std::sort(Folder.Bundle.Files.begin(), Folder.Bundle.Files.end(),
            [](const IntentFile &Left, const IntentFile &Right) {
              return Left.Name < Right.Name;
            });
  std::sort(Folder.Ignored.begin(), Folder.Ignored.end());
  return Folder;
}

} // namespace fescuewood
