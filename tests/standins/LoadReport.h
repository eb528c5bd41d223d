/// \file
/// Summary of the samples of a \ref LoadDriver, checked against the runs that
/// the targets recorded.

#ifndef FESCUEWOOD_TESTS_STANDINS_LOADREPORT_H
#define FESCUEWOOD_TESTS_STANDINS_LOADREPORT_H

#include "standins/LoadDriver.h"

#include <algorithm>
#include <map>
#include <string>
#include <vector>

#include <fmt/format.h>

namespace standins {

/// Number of runs of each request mark, over all targets.
using RunRecord = std::map<std::string, int>;

/// Counters and latencies of one load run.
struct LoadSummary {
  std::size_t Requests = 0;
  std::size_t InTime = 0;
  std::size_t Broken = 0;  ///< No response: closed connection or timeout.
  std::size_t Foreign = 0; ///< Responses that belong to other requests.
  std::map<std::string, std::size_t> Refused; ///< By outcome.
  std::map<int, std::size_t> Codes;           ///< Refusals by result code.
  std::map<std::string, double> InTimeShare;  ///< By organisation.
  std::string Worst; ///< Organisation with the lowest share in time.
  double P50Ms = 0;  ///< Latency of requests with status 200.
  double P99Ms = 0;
  std::size_t Doubled = 0;     ///< Non-idempotent requests with several runs.
  std::size_t FalseNotRun = 0; ///< Refused as "not-run" although they ran.
  std::size_t FalseRan = 0;    ///< Status 200 without a recorded run.
};

inline double percentile(std::vector<double> Values, double Share) {
  if (Values.empty())
    return 0;
  const auto Position =
      Values.begin() + static_cast<std::ptrdiff_t>(
                           Share * static_cast<double>(Values.size() - 1));
  std::nth_element(Values.begin(), Position, Values.end());
  return *Position;
}

inline LoadSummary summarise(const std::vector<LoadStream> &Streams,
                             const std::vector<LoadSample> &Samples,
                             const RunRecord &Runs) {
  LoadSummary Sum;
  std::vector<double> Latencies;
  std::map<std::string, std::pair<std::size_t, std::size_t>> ByOrganisation;
  for (const LoadSample &Sample : Samples) {
    const LoadStream &Kind = Streams[Sample.Stream];
    const auto Run = Runs.find(Sample.Mark);
    const int RunCount = Run == Runs.end() ? 0 : Run->second;
    const bool IsInTime = Sample.isInTime(Kind);
    auto &[All, InTime] = ByOrganisation[Kind.Organisation];
    ++All;
    ++Sum.Requests;
    InTime += IsInTime ? 1 : 0;
    Sum.InTime += IsInTime ? 1 : 0;
    Sum.Foreign += Sample.Fault == LoadFault::Foreign ? 1 : 0;
    Sum.Doubled += Kind.Method == "POST" && RunCount > 1 ? 1 : 0;
    if (Sample.Status == 200) {
      Latencies.push_back(Sample.LatencyMs);
      Sum.FalseRan += RunCount == 0 ? 1 : 0;
    } else if (Sample.Status == 0) {
      ++Sum.Broken;
    } else {
      ++Sum.Refused[Sample.Outcome];
      ++Sum.Codes[Sample.Code];
      Sum.FalseNotRun += Sample.Outcome == "not-run" && RunCount > 0 ? 1 : 0;
    }
  }
  double LowestShare = 2;
  for (const auto &[Name, Counts] : ByOrganisation) {
    const double Share =
        static_cast<double>(Counts.second) / static_cast<double>(Counts.first);
    Sum.InTimeShare[Name] = Share;
    if (Share < LowestShare) {
      LowestShare = Share;
      Sum.Worst = Name;
    }
  }
  Sum.P50Ms = percentile(Latencies, 0.5);
  Sum.P99Ms = percentile(Latencies, 0.99);
  return Sum;
}

inline const char *markdownHeader() {
  return "| Run | Requests | In time | Worst served | p50 ms | p99 ms | Not "
         "run "
         "| Ran | Unknown | No answer | Foreign | Doubled | False not-run |\n"
         "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n";
}

inline std::string markdownRow(const std::string &Name,
                               const LoadSummary &Sum) {
  const auto Refused = [&](const char *Outcome) {
    const auto Found = Sum.Refused.find(Outcome);
    return Found == Sum.Refused.end() ? 0 : Found->second;
  };
  const double Share = Sum.Requests == 0
                           ? 0
                           : 100.0 * static_cast<double>(Sum.InTime) /
                                 static_cast<double>(Sum.Requests);
  const auto Worst = Sum.InTimeShare.find(Sum.Worst);
  return fmt::format(
      "| {} | {} | {:.2f} % | {} {:.2f} % | {:.2f} | {:.2f} | {} | {} | {} | "
      "{} | {} | {} | {} |\n",
      Name, Sum.Requests, Share, Sum.Worst,
      Worst == Sum.InTimeShare.end() ? 0 : 100 * Worst->second, Sum.P50Ms,
      Sum.P99Ms, Refused("not-run"), Refused("ran"), Refused("unknown"),
      Sum.Broken, Sum.Foreign, Sum.Doubled, Sum.FalseNotRun);
}

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_LOADREPORT_H
