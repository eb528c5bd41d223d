#include "policy/CrashEvidence.h"

#include <utility>

namespace fescuewood {

namespace {

/// Fewest simultaneous aborts that one lost connection cannot explain.
constexpr std::size_t MinCrashAborts = 2;

} // namespace

void CrashEvidence::onAbortedRun(const CallId &Id, TimeMs Now) {
  AbortedRuns.push_back(Id);
  LastAbortAt = Now;
  SurvivalProven = false;
}

void CrashEvidence::onAnsweredRun(TimeMs Now) {
  if (AbortedRuns.empty())
    return;
  AnsweredSince = true;
  SurvivalProven = Now - LastAbortAt >= MinSurvivalTime;
}

CrashVerdict CrashEvidence::judge(bool Answers, bool OthersRun) const {
  if (SurvivalProven)
    return CrashVerdict::StillRunning;
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
  SurvivalProven = false;
  return std::exchange(AbortedRuns, {});
}

} // namespace fescuewood
