#include "settings/SettingsChange.h"

#include "ini/IniReader.h"

#include <map>

namespace fescuewood {

namespace {

using Values = std::map<std::string, std::string>;

Values valuesOf(std::string_view Text) {
  Problems IgnoredProblems; // Both texts are known to be valid.
  Values Result;
  for (const IniSection &Section : readIni(Text, "settings", IgnoredProblems))
    for (const IniEntry &Entry : Section.Entries)
      Result["[" + Section.Kind + "] " + Entry.Name] = Entry.Value;
  return Result;
}

bool isReloadable(std::string_view Name) {
  return Name == "[log] level" || Name.starts_with("[bounds] ");
}

void add(SettingsChange &Change, const std::string &Name) {
  (isReloadable(Name) ? Change.Reloadable : Change.RestartRequired)
      .push_back(Name);
}

} // namespace

SettingsChange compareSettings(std::string_view Old, std::string_view New) {
  const Values Before = valuesOf(Old);
  const Values After = valuesOf(New);
  SettingsChange Change;
  for (const auto &[Name, Value] : After) {
    const auto Previous = Before.find(Name);
    if (Previous == Before.end() || Previous->second != Value)
      add(Change, Name);
  }
  for (const auto &[Name, Value] : Before)
    if (!After.contains(Name))
      add(Change, Name);
  return Change;
}

} // namespace fescuewood
