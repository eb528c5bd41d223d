#include "check/ConfigDifference.h"

#include "check/PrintableText.h"

#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

bool isImmediateRemoval(std::string_view Entry) {
  return Entry.starts_with(KeyEntryKind) || Entry.starts_with(RouteEntryKind);
}

bool isImmediateChange(std::string_view Entry, std::string_view Field) {
  return Entry.starts_with(RouteEntryKind) &&
         (Field == DestinationField || Field == HostField ||
          Field == MethodField || Field == PathField);
}

/// Compares the fields of an entry that is in both configurations. A field that
/// only one of them has comes from another release of the program.
void compareFields(const std::string &Entry, const EntryFields &Old,
                   const EntryFields &New, Differences &Result) {
  for (const auto &[Field, OldText] : Old)
    if (const std::string &NewText = New.at(Field); NewText != OldText)
      Result.push_back(
          {Entry, Field, OldText, NewText, isImmediateChange(Entry, Field)});
}

} // namespace

std::string Difference::text() const {
  const std::string_view Suffix = Immediate ? " (immediate)" : "";
  if (!Old)
    return printableText(fmt::format("+ {}{}", Entry, Suffix));
  if (!New)
    return printableText(fmt::format("- {}{}", Entry, Suffix));
  return printableText(
      fmt::format("~ {}: {}: {} -> {}{}", Entry, Field, *Old, *New, Suffix));
}

Differences compareConfigurations(const Snapshot &Old, const Snapshot &New) {
  return compareEntries(configEntries(Old), configEntries(New));
}

Differences compareEntries(const ConfigEntries &Before,
                           const ConfigEntries &After) {
  ConfigEntries All = Before;
  All.insert(After.begin(), After.end());
  Differences Result;
  for (const auto &[Entry, Values] : All) {
    const auto OldEntry = Before.find(Entry);
    const auto NewEntry = After.find(Entry);
    if (OldEntry == Before.end())
      Result.push_back({Entry, "", std::nullopt, "present", false});
    else if (NewEntry == After.end())
      Result.push_back(
          {Entry, "", "present", std::nullopt, isImmediateRemoval(Entry)});
    else
      compareFields(Entry, OldEntry->second, NewEntry->second, Result);
  }
  return Result;
}

} // namespace fescuewood
