#include "intent/IntentReport.h"

#include "intent/CompileIntent.h"
#include "intent/MergedIntent.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Column of the origin comment, unless the assignment is longer.
constexpr std::size_t OriginColumn = 48;

using DefaultsByKind =
    std::map<std::string, std::map<std::string, std::string>, std::less<>>;

DefaultsByKind defaultsByKind() {
  DefaultsByKind Defaults;
  for (const KeyInfo &Info : intentKeys())
    if (Info.Default)
      Defaults[Info.Section][Info.Name] = *Info.Default;
  return Defaults;
}

std::string assignmentLine(std::string_view Name, std::string_view Value,
                           std::string_view Origin) {
  const std::string Assignment = fmt::format("{} = {}", Name, Value);
  return fmt::format("{:<{}}  # {}\n", Assignment, OriginColumn, Origin);
}

std::string originText(const MergedSection &Section, const std::string &Name,
                       const SourcedValue &Value) {
  std::string Origin = Value.Where.text();
  const auto [First, Last] = Section.Overridden.equal_range(Name);
  if (First != Last)
    Origin += ", over " + std::prev(Last)->second.Where.text();
  return Origin;
}

std::string sectionText(const SectionId &Id, const MergedSection &Section,
                        const std::map<std::string, std::string> &Defaults) {
  std::string Text = Id.heading() + "\n";
  for (const auto &[Name, Value] : Section.Values)
    Text += assignmentLine(Name, Value.Text, originText(Section, Name, Value));
  for (const auto &[Name, Default] : Defaults)
    if (!Section.Values.contains(Name))
      Text += assignmentLine(Name, Default, "default");
  return Text + "\n";
}

/// The digest, which operators compare with the version that nodes report.
std::string digestLine(const IntentBundle &Bundle) {
  std::size_t Bytes = 0;
  for (const IntentFile &F : Bundle.Files)
    Bytes += F.Name.size() + F.Text.size();
  return fmt::format("# digest {}, {} files, {} of {} bytes\n",
                     Bundle.version().Content.shortHex(), Bundle.Files.size(),
                     Bytes, MaxBundleBytes);
}

} // namespace

IntentReport reportIntent(const IntentBundle &Bundle) {
  IntentReport Report;
  Problems MergeProblems;
  const MergedIntent Merged = mergeIntent(Bundle, MergeProblems);
  DefaultsByKind Defaults = defaultsByKind();
  for (const auto &[Id, Section] : Merged)
    Report.Merged += sectionText(Id, Section, Defaults[Id.Kind]);
  Report.Merged += digestLine(Bundle);
  const CompiledIntent Compiled = compileIntent(Bundle);
  Report.Accepted = Compiled.Result != nullptr;
  Report.Errors = problemsText(Compiled.Found);
  return Report;
}

IntentReport reportIntentFolder(const IntentFolder &Folder) {
  IntentReport Report = reportIntent(Folder.Bundle);
  for (const std::string &Name : Folder.IgnoredFiles)
    Report.Merged += "# ignored, not an intent file name: " + Name + "\n";
  return Report;
}

IntentReport reportIntentFolder(const std::string &Path) {
  Problems Found;
  const std::optional<IntentFolder> Folder = readIntentFolder(Path, Found);
  if (!Folder)
    return {false, "", problemsText(Found)};
  return reportIntentFolder(*Folder);
}

} // namespace fescuewood
