#include "intent/IntentFolder.h"

#include "core/ReadFile.h"
#include "intent/CompileIntent.h"

#include <sys/stat.h>

#include <algorithm>
#include <cstdint>
#include <filesystem>
#include <system_error>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

namespace fs = std::filesystem;

std::nullopt_t failUnreadable(const std::string &Path, std::string Detail,
                              Problems &Found) {
  report(Found, {ResultCode::FileUnreadable, {Path, 0}, "", std::move(Detail)});
  return std::nullopt;
}

} // namespace

std::uint64_t changeTimeMs(const std::string &Path) {
  constexpr std::uint64_t MsPerSecond = 1000;
  constexpr std::uint64_t NsPerMs = 1000000;
  struct stat Status {};
  if (::stat(Path.c_str(), &Status) != 0)
    return 0;
  return static_cast<std::uint64_t>(Status.st_ctim.tv_sec) * MsPerSecond +
         static_cast<std::uint64_t>(Status.st_ctim.tv_nsec) / NsPerMs;
}

std::uint64_t intentFolderRevision(const std::string &Path) {
  std::error_code Error;
  std::uint64_t Newest = changeTimeMs(Path);
  for (const fs::directory_entry &Entry : fs::directory_iterator(Path, Error))
    if (isIntentFileName(Entry.path().filename().string()))
      Newest = std::max(Newest, changeTimeMs(Entry.path().string()));
  return Newest;
}

std::optional<IntentFolder> readIntentFolder(const std::string &Path,
                                             Problems &Found) {
  std::error_code Error;
  fs::directory_iterator Entries(Path, Error);
  if (Error)
    return failUnreadable(Path, "expected a folder: " + Error.message(), Found);
  IntentFolder Folder;
  Folder.Bundle.Revision = changeTimeMs(Path);
  std::size_t Bytes = 0;
  for (const fs::directory_entry &Entry : Entries) {
    const std::string Name = Entry.path().filename().string();
    if (!isIntentFileName(Name)) {
      Folder.IgnoredFiles.push_back(Name);
      continue;
    }
    std::optional<std::string> Text =
        readFile(Entry.path().string(), MaxBundleBytes);
    Bytes += Name.size() + (Text ? Text->size() : 0);
    if (!Text || Bytes > MaxBundleBytes ||
        Folder.Bundle.Files.size() == MaxBundleFiles) {
      return failUnreadable(
          Entry.path().string(),
          fmt::format("expected a readable file and at most {} bytes in {} "
                      "files in the folder",
                      MaxBundleBytes, MaxBundleFiles),
          Found);
    }
    Folder.Bundle.Revision =
        std::max(Folder.Bundle.Revision, changeTimeMs(Entry.path().string()));
    Folder.Bundle.Files.push_back({Name, std::move(*Text)});
  }
  std::sort(Folder.Bundle.Files.begin(), Folder.Bundle.Files.end(),
            [](const IntentFile &Left, const IntentFile &Right) {
              return Left.Name < Right.Name;
            });
  std::sort(Folder.IgnoredFiles.begin(), Folder.IgnoredFiles.end());
  return Folder;
}

} // namespace fescuewood
