#include "policy/AnnouncedState.h"

#include <algorithm>
#include <limits>

namespace fescuewood {

void AnnouncedState::setTarget(std::string_view Id,
                               std::uint64_t NewStartedAtMs, TimeMs Now) {
  const bool IsOtherStart =
      StartedAtMs != 0 && NewStartedAtMs != 0 && StartedAtMs != NewStartedAtMs;
  if (Id != TargetId || IsOtherStart) {
    *this = {};
    NamedAt = Now;
  }
  TargetId = Id;
  if (NewStartedAtMs != 0)
    StartedAtMs = NewStartedAtMs;
}

AnnouncedState::Change AnnouncedState::onAnswer(const TargetNotice &Notice,
                                                TimeMs SentAt, TimeMs Now) {
  Change Result;
  if (SentAt < NamedAt)
    return Result;
  Known = true;
  Result.Limit = Limit.update(Notice, SentAt, Now);
  Result.LimitUnreadable = Notice.LimitUnreadable && !LimitUnreadable;
  LimitUnreadable = Notice.LimitUnreadable;
  Result.Leaving = Notice.Leaving && !Leaving;
  Leaving = Leaving || Notice.Leaving;
  return Result;
}

std::uint32_t AnnouncedState::concurrency(DurationMs Latency) const {
  constexpr auto NoLimit = std::numeric_limits<std::uint32_t>::max();
  constexpr double MsPerSecond = 1000;
  if (!Limit.rate())
    return NoLimit;
  const double Busy =
      *Limit.rate() * static_cast<double>(Latency.Value) / MsPerSecond;
  return static_cast<std::uint32_t>(std::clamp<double>(Busy, 1, NoLimit));
}

} // namespace fescuewood
