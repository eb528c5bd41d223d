#include "app/CheckInput.h"

#include "core/ReadFile.h"
#include "intent/CompileIntent.h"
#include "intent/IntentFolder.h"
#include "intent/IntentReport.h"
#include "platform/ConfigCodec.h"
#include "sources/StoreBundle.h"

#include <algorithm>
#include <filesystem>
#include <istream>
#include <optional>
#include <system_error>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

CheckInput unreadable(const std::string &Name, std::string Detail) {
  CheckInput Result;
  Result.Readable = false;
  report(Result.Found,
         {ResultCode::FileUnreadable, {Name, 0}, "", std::move(Detail)});
  return Result;
}

void addEntries(CheckInput &Result) {
  if (Result.Config)
    Result.Entries = configEntries(*Result.Config);
}

CheckInput readFolder(const std::string &Path) {
  CheckInput Result;
  const std::optional<IntentFolder> Folder =
      readIntentFolder(Path, Result.Found);
  Result.Readable = Folder.has_value();
  if (!Folder)
    return Result;
  CompiledIntent Compiled = compileIntent(Folder->Bundle);
  Result.Config = std::move(Compiled.Result);
  Result.Found = std::move(Compiled.Found);
  Result.Merged = reportIntentFolder(*Folder).Merged;
  Result.HasDomains = true;
  addEntries(Result);
  return Result;
}

/// Reads at most one byte more than the limit, so that an endless input ends.
std::optional<std::string> readStream(std::istream &Stream) {
  std::string Text(MaxCheckedBytes + 1, '\0');
  Stream.read(Text.data(), static_cast<std::streamsize>(Text.size()));
  Text.resize(static_cast<std::size_t>(Stream.gcount()));
  if (Stream.bad() || Text.size() > MaxCheckedBytes)
    return std::nullopt;
  return Text;
}

CheckInput decodeDocument(const std::string &Name, std::string Text) {
  CheckInput Result;
  platform::ConfigProblems Found;
  // The regions come from a node's settings and are not part of the document.
  Result.Config = platform::compileConfiguration(
      encodeStoreBundle({std::move(Text), {}}, 0), {}, Found);
  for (const platform::ConfigProblem &P : Found)
    report(Result.Found,
           {ResultCode::ValueMalformed, {Name, 0}, P.Where, P.detail()});
  addEntries(Result);
  return Result;
}

} // namespace

CheckInput readCheckInput(const std::string &Path, std::istream &Standard) {
  std::error_code Error;
  if (std::filesystem::is_directory(Path, Error))
    return readFolder(Path);
  const bool IsStandard = Path == StandardInputName;
  std::optional<std::string> Text =
      IsStandard ? readStream(Standard) : readFile(Path, MaxCheckedBytes);
  const std::string Name = IsStandard ? "standard input" : Path;
  if (!Text) {
    return unreadable(
        Name, fmt::format("expected a folder, or a readable file of at most {} "
                          "bytes",
                          MaxCheckedBytes));
  }
  return decodeDocument(Name, std::move(*Text));
}

CheckInput readNodePage(const std::string &Address,
                        const std::optional<std::string> &Page) {
  if (!Page)
    return unreadable(Address, "the node cannot be queried");
  CheckInput Result;
  Result.HasDomains = true;
  Result.Entries = parseConfigEntries(*Page);
  return Result.Entries
             ? Result
             : unreadable(Address, "expected a node's configuration page");
}

} // namespace fescuewood
