#include "app/CheckReport.h"

#include "check/LimitConflicts.h"
#include "check/UnmatchedEntries.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

using Json = nlohmann::ordered_json;

/// Result for one input, before warnings are considered.
ExitCode inputResult(const CheckInput &Input) {
  if (!Input.Readable)
    return ExitCode::Failure;
  return Input.Entries ? ExitCode::Success : ExitCode::Usage;
}

/// Compares two valid inputs; failure domains only if both forms have them.
Differences compareInputs(const CheckInput &Old, const CheckInput &New) {
  ConfigEntries Before = *Old.Entries;
  ConfigEntries After = *New.Entries;
  const auto IsDomain = [](const auto &Item) {
    return Item.first.starts_with(DomainEntryKind);
  };
  if (!Old.HasDomains || !New.HasDomains) {
    std::erase_if(Before, IsDomain);
    std::erase_if(After, IsDomain);
  }
  return compareEntries(Before, After);
}

std::string differencesText(const Differences &Changes) {
  std::string Text;
  for (const Difference &Change : Changes)
    Text += Change.text() + "\n";
  const auto Immediate =
      std::count_if(Changes.begin(), Changes.end(),
                    [](const Difference &Change) { return Change.Immediate; });
  return Text + fmt::format("# {} differences, {} immediate\n", Changes.size(),
                            Immediate);
}

Json problemsJson(const Problems &Found) {
  Json Array = Json::array();
  for (const Problem &P : Found) {
    Array.push_back({{"file", P.Where.File},
                     {"line", P.Where.Line},
                     {"entry", P.Name},
                     {"detail", P.Detail},
                     {"code", static_cast<unsigned>(P.Code)}});
  }
  return Array;
}

Json warningsJson(const Findings &Warnings) {
  Json Array = Json::array();
  for (const Finding &W : Warnings) {
    Array.push_back({{"name", findingName(W.Kind)},
                     {"entry", W.Entry},
                     {"field", W.Field},
                     {"value", W.Value},
                     {"expected", W.Expected}});
  }
  return Array;
}

Json textJson(const std::optional<std::string> &Text) {
  return Text ? Json(*Text) : Json();
}

Json differencesJson(const Differences &Changes) {
  Json Array = Json::array();
  for (const Difference &D : Changes) {
    Array.push_back({{"entry", D.Entry},
                     {"field", D.Field},
                     {"old", textJson(D.Old)},
                     {"new", textJson(D.New)},
                     {"immediate", D.Immediate}});
  }
  return Array;
}

} // namespace

CheckReport makeCheckReport(CheckInput Input, std::string AgainstName,
                            std::optional<CheckInput> Against) {
  CheckReport Report{
      std::move(Input), std::move(AgainstName), std::move(Against), {}, {}};
  const SnapshotPtr &Config = Report.Input.Config;
  if (!Config)
    return Report;
  Report.Warnings = findUnmatchedEntries(*Config);
  Findings Conflicts = findLimitConflicts(*Config);
  std::move(Conflicts.begin(), Conflicts.end(),
            std::back_inserter(Report.Warnings));
  if (Report.Against && Report.Against->Entries)
    Report.Changes = compareInputs(*Report.Against, Report.Input);
  return Report;
}

std::string checkOutput(const CheckReport &Report) {
  if (!Report.Against)
    return Report.Input.Merged;
  return Report.Changes ? differencesText(*Report.Changes) : "";
}

std::string checkMessages(const CheckReport &Report) {
  std::string Text = problemsText(Report.Input.Found);
  if (Report.Against && !Report.Against->Entries)
    Text +=
        fmt::format("check: {} cannot be compared with:\n{}",
                    Report.AgainstName, problemsText(Report.Against->Found));
  for (const Finding &Warning : Report.Warnings)
    Text += "warning: " + Warning.text() + "\n";
  return Text;
}

std::string checkJson(const CheckReport &Report) {
  Json Object{{"accepted", Report.Input.Config != nullptr},
              {"errors", problemsJson(Report.Input.Found)},
              {"warnings", warningsJson(Report.Warnings)}};
  if (Report.Against)
    Object["against_errors"] = problemsJson(Report.Against->Found);
  if (Report.Changes)
    Object["differences"] = differencesJson(*Report.Changes);
  // File names need not be UTF-8.
  constexpr int Indent = 2;
  return Object.dump(Indent, ' ', /*ensure_ascii=*/false,
                     Json::error_handler_t::replace) +
         "\n";
}

ExitCode checkResult(const CheckReport &Report, bool Strict) {
  ExitCode Result = inputResult(Report.Input);
  if (Report.Against)
    Result = std::max(Result, inputResult(*Report.Against));
  if (Strict && !Report.Warnings.empty())
    Result = std::max(Result, ExitCode::Negative);
  return Result;
}

} // namespace fescuewood
