/// \file
/// Report of a scenario as a Markdown table row and a JSON line.
///
/// Compares the samples of the callers with the runs recorded by the targets.

#ifndef FESCUEWOOD_BENCH_SCENARIOREPORT_H
#define FESCUEWOOD_BENCH_SCENARIOREPORT_H

#include "ScenarioLoad.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood::bench {

/// One run of a scenario under a policy.
struct ScenarioRun {
  std::string Deployment;
  std::string Scenario;
  std::string Policy;
  unsigned Seed = 1;
  double PerSecond = 0;
  ScenarioTimes Times;
  ScenarioLoad Load;
  std::vector<standins::LoadSample> Samples;
  int TargetCrashes = 0;
};

/// Figures of a run. Percentages and latencies cover the calls sent since the
/// fault began; guarantees are checked over all calls.
struct ScenarioFigures {
  standins::LoadSummary Counted;
  standins::LoadSummary All;
  double InTimePercent = 0;
  double WorstPercent = 0;
  double P50Ms = 0; ///< Of calls answered in time, without those that can wait.
  double P99Ms = 0;
  std::map<std::string, int>
      FailureCauses; ///< Counted calls not answered in time, by cause.
};

inline std::string failureCause(const standins::LoadStream &Stream,
                                const standins::LoadSample &Sample) {
  const std::string Path = Stream.Path.substr(0, Stream.Path.find('?'));
  const std::string Kind = Path.substr(Path.rfind('/') + 1);
  if (Sample.Fault == standins::LoadFault::Foreign)
    return Kind + " foreign";
  if (Sample.Status == 0)
    return Kind + (Sample.Fault == standins::LoadFault::Silent ? " silent"
                                                               : " broken");
  if (Sample.Status == 200)
    return Kind + " late";
  return fmt::format("{} {} {}", Kind, Sample.Code, Sample.Outcome);
}

inline bool isCounted(const ScenarioRun &Run,
                      const standins::LoadSample &Sample) {
  constexpr double MsPerSecond = 1000;
  return Run.Load.Roles[Sample.Stream] == StreamRole::Regular &&
         Sample.AtMs >= Run.Times.FaultFrom * MsPerSecond;
}

inline ScenarioFigures figuresOf(const ScenarioRun &Run,
                                 const standins::RunRecord &Runs) {
  ScenarioFigures Result;
  std::vector<standins::LoadSample> Counted;
  std::vector<double> UrgentLatencies;
  for (const standins::LoadSample &Sample : Run.Samples) {
    if (!isCounted(Run, Sample))
      continue;
    Counted.push_back(Sample);
    const standins::LoadStream &Stream = Run.Load.Streams[Sample.Stream];
    if (!Sample.isInTime(Stream))
      ++Result.FailureCauses[failureCause(Stream, Sample)];
    else if (Stream.InTimeMs != WaitLimitMs)
      UrgentLatencies.push_back(Sample.LatencyMs);
  }
  Result.Counted = standins::summarise(Run.Load.Streams, Counted, Runs);
  Result.All = standins::summarise(Run.Load.Streams, Run.Samples, Runs);
  const auto Percent = [](std::size_t Part, std::size_t Whole) {
    return Whole == 0
               ? 0.0
               : 100.0 * static_cast<double>(Part) / static_cast<double>(Whole);
  };
  Result.InTimePercent =
      Percent(Result.Counted.InTime, Result.Counted.Requests);
  if (!Result.Counted.Worst.empty())
    Result.WorstPercent =
        100.0 * Result.Counted.InTimeShare.at(Result.Counted.Worst);
  Result.P50Ms = standins::percentile(UrgentLatencies, 0.5);
  Result.P99Ms = standins::percentile(UrgentLatencies, 0.99);
  return Result;
}

/// Most frequent cause of calls not answered in time, with its count.
inline std::string topFailureCause(const ScenarioFigures &Figures) {
  const auto Top = std::max_element(
      Figures.FailureCauses.begin(), Figures.FailureCauses.end(),
      [](const auto &A, const auto &B) { return A.second < B.second; });
  if (Top == Figures.FailureCauses.end())
    return "";
  return fmt::format("{}: {}", Top->first, Top->second);
}

inline const char *scenarioTableHead() {
  return "| Deployment | Scenario | Policy | Calls | In time % | Worst-served "
         "organisation % | p50 ms | p99 ms | Ran twice | Untrue \"not run\" | "
         "Foreign answers | No answer | Target crashes | Most losses |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

inline std::string scenarioRow(const ScenarioRun &Run,
                               const ScenarioFigures &Figures) {
  return fmt::format(
      "| {} | {} | {} | {} | {:.2f} | {:.2f} | {:.0f} | {:.0f} | {} | {} | {} "
      "| {} | {} | {} |\n",
      Run.Deployment, Run.Scenario, Run.Policy, Figures.Counted.Requests,
      Figures.InTimePercent, Figures.WorstPercent, Figures.P50Ms, Figures.P99Ms,
      Figures.All.Doubled, Figures.All.FalseNotRun, Figures.All.Foreign,
      Figures.All.Broken, Run.TargetCrashes, topFailureCause(Figures));
}

inline std::string scenarioJson(const ScenarioRun &Run,
                                const ScenarioFigures &Figures) {
  const nlohmann::json Line = {{"deployment", Run.Deployment},
                               {"scenario", Run.Scenario},
                               {"policy", Run.Policy},
                               {"seed", Run.Seed},
                               {"calls_per_second", Run.PerSecond},
                               {"calls", Figures.Counted.Requests},
                               {"in_time_percent", Figures.InTimePercent},
                               {"worst_organisation", Figures.Counted.Worst},
                               {"worst_percent", Figures.WorstPercent},
                               {"p50_ms", Figures.P50Ms},
                               {"p99_ms", Figures.P99Ms},
                               {"ran_twice", Figures.All.Doubled},
                               {"untrue_not_run", Figures.All.FalseNotRun},
                               {"answered_without_run", Figures.All.FalseRan},
                               {"foreign_answers", Figures.All.Foreign},
                               {"no_answer", Figures.All.Broken},
                               {"target_crashes", Run.TargetCrashes},
                               {"losses", Figures.FailureCauses}};
  return Line.dump() + "\n";
}

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_SCENARIOREPORT_H
