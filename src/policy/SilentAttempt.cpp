#include "policy/SilentAttempt.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// Runs for which time is left when a call moves.
constexpr std::int64_t SpareRuns = 2;

} // namespace

TimeMs moveTime(const SilentAttempt &Attempt) {
  const TimeMs LatestInTime =
      Attempt.Deadline - Attempt.TimeElsewhere * SpareRuns;
  return std::min(Attempt.HeardAt + MaxNodeSilence, LatestInTime);
}

SilenceVerdict judgeSilence(const SilentAttempt &Attempt, TimeMs Now) {
  if (Attempt.Deadline - Now < Attempt.TimeElsewhere)
    return SilenceVerdict::Keep;
  return Now < moveTime(Attempt) ? SilenceVerdict::Wait : SilenceVerdict::Move;
}

} // namespace fescuewood
