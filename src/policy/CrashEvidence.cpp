#include "policy/CrashEvidence.h"

#include <utility>

namespace fescuewood {

namespace {

/// Fewest runs whose common end cannot be the loss of one connection.
constexpr std::size_t LeastLostTogether = 2;

} // namespace

CrashVerdict CrashEvidence::judge(bool Answers, bool OthersRun) const {
  if (!Answers)
    return CrashVerdict::Crashed;
  if (Broken.size() > BrokenAtProbe)
    return CrashVerdict::ProbeAgain;
  if (OthersRun || AnsweredSince)
    return CrashVerdict::StillRunning;
  return Broken.size() >= LeastLostTogether ? CrashVerdict::Crashed
                                            : CrashVerdict::Unclear;
}

std::vector<CallId> CrashEvidence::take() {
  BrokenAtProbe = 0;
  AnsweredSince = false;
  return std::exchange(Broken, {});
}

} // namespace fescuewood
