#include "soak/Scenario.h"

#include "ini/Forms.h"
#include "ini/IniReader.h"
#include "ini/Schema.h"

#include <algorithm>
#include <array>
#include <map>
#include <utility>

namespace fescuewood::soak {

namespace {

constexpr std::array<std::pair<FaultKind, std::string_view>, 16> FaultNames{{
    {FaultKind::NodeTerm, "node-term"},
    {FaultKind::NodeKill, "node-kill"},
    {FaultKind::NodeStop, "node-stop"},
    {FaultKind::NodeHup, "node-hup"},
    {FaultKind::TargetCrash, "target-crash"},
    {FaultKind::TargetLeave, "target-leave"},
    {FaultKind::TargetRepeat, "target-repeat"},
    {FaultKind::TargetFail, "target-fail"},
    {FaultKind::TargetSilent, "target-silent"},
    {FaultKind::TargetCut, "target-cut"},
    {FaultKind::TargetSpoilt, "target-spoilt"},
    {FaultKind::TargetRefuse, "target-refuse"},
    {FaultKind::Configuration, "configuration"},
    {FaultKind::StoreRefuse, "store-refuse"},
    {FaultKind::StoreSilent, "store-silent"},
    {FaultKind::StoreReset, "store-reset"},
}};

constexpr std::string_view AllWord = "all";

std::optional<FaultKind> faultOf(std::string_view Name) {
  for (const auto &[Kind, Known] : FaultNames)
    if (Known == Name)
      return Kind;
  return std::nullopt;
}

std::optional<std::vector<FaultKind>> faultList(std::string_view Text) {
  if (Text == AllWord)
    return allFaults();
  std::vector<FaultKind> Kinds;
  while (!Text.empty()) {
    const std::size_t Comma = std::min(Text.find(','), Text.size());
    std::string_view Name = Text.substr(0, Comma);
    Name.remove_prefix(std::min(Name.find_first_not_of(' '), Name.size()));
    const auto Kind = faultOf(Name);
    if (!Kind)
      return std::nullopt;
    Kinds.push_back(*Kind);
    Text.remove_prefix(std::min(Comma + 1, Text.size()));
  }
  if (Kinds.empty())
    return std::nullopt;
  return Kinds;
}

ValueForm<std::vector<FaultKind>> faultsForm() {
  std::string Text = "all, or a list of";
  for (const auto &[Kind, Name] : FaultNames)
    Text += " " + std::string(Name);
  return {std::move(Text), faultList};
}

using Rows = std::vector<KeyRow<Scenario>>;

KeyRow<Scenario> boundRow(std::string Name, std::string Default,
                          DurationMs Bounds::*Member, std::string Meaning) {
  constexpr std::uint64_t MaxBoundMs = 60'000;
  return keyRow<Scenario>("bounds", std::move(Name), "ms", std::move(Default),
                          milliseconds(1, MaxBoundMs),
                          nestedMember(&Scenario::Limits, Member),
                          std::move(Meaning));
}

const Rows &scenarioRows() {
  constexpr std::uint64_t MaxNodes = 200;
  constexpr std::uint64_t MaxCallers = 50;
  constexpr std::uint64_t MaxTimeMs = 3'600'000;
  constexpr std::uint64_t MaxFaultMs = 60'000;
  static const Rows Table{
      keyRow<Scenario>("mesh", "nodes", "", "6",
                       wholeNumber<std::size_t>(2, MaxNodes), &Scenario::Nodes,
                       "Nodes, each with a target."),
      keyRow<Scenario>("mesh", "callers_per_node", "", "3",
                       wholeNumber<std::size_t>(1, MaxCallers),
                       &Scenario::CallersPerNode, "Callers of each node."),
      keyRow<Scenario>("faults", "kinds", "", "all", faultsForm(),
                       &Scenario::Faults, "Faults to inject."),
      keyRow<Scenario>("faults", "time_ms", "ms", "20000",
                       milliseconds(1, MaxTimeMs), &Scenario::FaultTime,
                       "Time in which faults begin."),
      keyRow<Scenario>("faults", "mean_gap_ms", "ms", "1000",
                       milliseconds(20, MaxFaultMs), &Scenario::MeanGap,
                       "Mean time between two faults."),
      keyRow<Scenario>("faults", "min_duration_ms", "ms", "300",
                       milliseconds(1, MaxFaultMs), &Scenario::MinDuration,
                       "Shortest fault."),
      keyRow<Scenario>("faults", "max_duration_ms", "ms", "4000",
                       milliseconds(1, MaxFaultMs), &Scenario::MaxDuration,
                       "Longest fault."),
      keyRow<Scenario>("bounds", "served_time_ms", "ms", "4000",
                       milliseconds(500, MaxTimeMs), &Scenario::ServedTime,
                       "Time after the recovery that is checked."),
      boundRow("key_withdrawal_ms", "5000", &Bounds::KeyWithdrawal,
               "Bound for withdrawn keys."),
      boundRow("departure_ms", "2000", &Bounds::Departure,
               "Bound for leaving targets."),
      boundRow("contact_ms", "3000", &Bounds::Contact,
               "Time after a disturbance until bounds hold."),
      boundRow("recovery_ms", "15000", &Bounds::Recovery,
               "Bound for serving after the last fault."),
      boundRow("drain_time_ms", "5000", &Bounds::DrainTime,
               "Least time of a drain that ends because its time is over."),
      boundRow("grace_ms", "6000", &Bounds::Grace, "From SIGTERM to SIGKILL."),
      keyRow<Scenario>("bounds", "served_share", "", "0.9",
                       decimalNumber(0.01, 1),
                       nestedMember(&Scenario::Limits, &Bounds::ServedShare),
                       "Least share that each node serves after the recovery."),
  };
  return Table;
}

constexpr std::array<std::string_view, 3> SectionNames{"mesh", "faults",
                                                       "bounds"};

} // namespace

std::string_view faultName(FaultKind Kind) {
  return FaultNames.at(static_cast<std::size_t>(Kind)).second;
}

const std::vector<FaultKind> &allFaults() {
  static const std::vector<FaultKind> Kinds = [] {
    std::vector<FaultKind> All;
    All.reserve(FaultNames.size());
    for (const auto &[Kind, Name] : FaultNames)
      All.push_back(Kind);
    return All;
  }();
  return Kinds;
}

std::optional<Scenario> readScenario(std::string_view Text,
                                     std::string_view FileName,
                                     Problems &ProblemList) {
  const std::string File(FileName);
  std::map<std::string, IniSection, std::less<>> Sections;
  for (IniSection &Section : readIni(Text, FileName, ProblemList)) {
    const bool IsKnown = Section.Name.empty() &&
                         std::find(SectionNames.begin(), SectionNames.end(),
                                   Section.Kind) != SectionNames.end();
    if (!IsKnown) {
      report(ProblemList, {ResultCode::SectionUnknown,
                           {File, Section.Line},
                           Section.heading(),
                           "unknown section, expected mesh, faults or bounds"});
    }
    Sections.try_emplace(Section.Kind, std::move(Section));
  }
  Scenario Result;
  for (const std::string_view Name : SectionNames) {
    const IniSection &Section = Sections[std::string(Name)];
    SectionValues Values;
    for (const IniEntry &Entry : Section.Entries)
      Values.emplace(Entry.Name, SourcedValue{Entry.Value, {File, Entry.Line}});
    fillSection<Scenario>(scenarioRows(), Name, "[" + std::string(Name) + "]",
                          {File, Section.Line}, Values, Result, ProblemList);
  }
  if (Result.MinDuration > Result.MaxDuration) {
    report(ProblemList,
           {ResultCode::SettingsConflict,
            {File, Sections["faults"].Line},
            "[faults] min_duration_ms",
            "longer than max_duration_ms, expected at most as long"});
  }
  if (!ProblemList.empty())
    return std::nullopt;
  return Result;
}

} // namespace fescuewood::soak
