#include "policy/CrashEvidence.h"

#include <utility>

namespace fescuewood {

namespace {

/// Fewest simultaneous aborts that one lost connection cannot explain.
constexpr std::size_t MinCrashAborts = 2;

} // namespace

CrashVerdict CrashEvidence::judge(bool Answers, bool OthersRun) const {
  if (!Answers)
    return CrashVerdict::Crashed;
  if (AbortedRuns.size() > AbortedBeforeProbe)
    return CrashVerdict::ProbeAgain;
  if (OthersRun || AnsweredSince)
    return CrashVerdict::StillRunning;
  return AbortedRuns.size() >= MinCrashAborts ? CrashVerdict::Crashed
                                              : CrashVerdict::Inconclusive;
}

std::vector<CallId> CrashEvidence::take() {
  AbortedBeforeProbe = 0;
  AnsweredSince = false;
  return std::exchange(AbortedRuns, {});
}

} // namespace fescuewood
