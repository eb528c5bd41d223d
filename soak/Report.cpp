#include "soak/Report.h"

#include <map>

#include <fmt/format.h>

namespace fescuewood::soak {

namespace {

using Json = nlohmann::json;

std::map<std::string, int> statusCounts(const History &Seen) {
  std::map<std::string, int> Counts;
  for (const Send &S : Seen.Sends)
    ++Counts[S.Status == 0 ? "none" : std::to_string(S.Status)];
  return Counts;
}

/// Start of the history; times in the report count from it.
std::int64_t startMs(const History &Seen) {
  return Seen.Sends.empty() ? 0 : Seen.Sends.front().SentMs;
}

Json faultsJson(const SoakResult &Result) {
  const std::int64_t Start = startMs(Result.Seen);
  Json Faults = Json::array();
  for (const InjectedFault &F : Result.Faults) {
    Faults.push_back({{"fault", faultName(F.Plan.Kind)},
                      {"node", F.Plan.Node},
                      {"from_ms", F.FromMs - Start},
                      {"to_ms", F.ToMs - Start}});
  }
  return Faults;
}

std::string verdict(const SoakResult &Result) {
  if (!Result.Failure.empty())
    return "could not be run: " + Result.Failure;
  return Result.Violations.empty() ? "all promises held" : "promises broken";
}

} // namespace

std::string reportJson(const SoakInput &Input, const SoakResult &Result) {
  Json Violations = Json::array();
  for (const Violation &V : Result.Violations)
    Violations.push_back(
        {{"promise", V.Promise}, {"subject", V.Subject}, {"detail", V.Detail}});
  constexpr int Indent = 2;
  return Json{{"seed", Input.Seed},
              {"scenario", Input.ScenarioFile},
              {"scenario_text", Input.ScenarioText},
              {"result", verdict(Result)},
              {"requests", Result.Seen.Sends.size()},
              {"runs", Result.Seen.Runs.size()},
              {"answers", statusCounts(Result.Seen)},
              {"longest_delay_ms", Result.LongestDelay.Value},
              {"last_fault_end_ms",
               Result.Seen.LastFaultEndMs - startMs(Result.Seen)},
              {"faults", faultsJson(Result)},
              {"violations", Violations}}
             .dump(Indent, ' ', false, Json::error_handler_t::replace) +
         "\n";
}

std::string reportText(const SoakInput &Input, const SoakResult &Result) {
  std::string Answers;
  for (const auto &[Status, Count] : statusCounts(Result.Seen))
    Answers += fmt::format(" {}: {}", Status, Count);
  std::string Text = fmt::format(
      "seed {} of {}: {}\n{} faults, {} requests, {} runs; answers{}\n",
      Input.Seed, Input.ScenarioFile, verdict(Result), Result.Faults.size(),
      Result.Seen.Sends.size(), Result.Seen.Runs.size(), Answers);
  Text += fmt::format("the driver was late by {} ms at most\n",
                      Result.LongestDelay.Value);
  constexpr std::size_t MaxListed = 20;
  for (std::size_t I = 0; I < Result.Violations.size() && I < MaxListed; ++I) {
    const Violation &V = Result.Violations[I];
    Text += fmt::format("broken: {} {}: {}\n", V.Promise, V.Subject, V.Detail);
  }
  if (Result.Violations.size() > MaxListed)
    Text += fmt::format("and {} more in report.json\n",
                        Result.Violations.size() - MaxListed);
  if (!Result.Violations.empty()) {
    Text +=
        fmt::format("explain a request: {} timeline --log $(ls {}/node-*.log"
                    " | paste -sd,) --request ID\n",
                    Input.NodeProgram, Input.Folder);
  }
  return Text;
}

} // namespace fescuewood::soak
