#include "policy/RecentRefusals.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// Share of the time left by which a call may exceed a refused one and still be
/// like it: calls of one route reach their entry with slightly different times.
constexpr std::int64_t LikenessDivisor = 8;

} // namespace

void RecentRefusals::add(const CallProfile &Refused, DurationMs RoomIn,
                         TimeMs Now) {
  if (RoomIn <= DurationMs(0))
    return;
  if (Now >= NextForgetAt || Refusals.size() >= MaxRecentRefusals)
    forgetEnded(Now);
  if (Refusals.size() >= MaxRecentRefusals)
    return;
  Refusals[Key(keyOf(Refused))] = {Now + std::min(RoomIn, MaxRefusalTime),
                                   Refused.Remaining};
}

std::optional<DurationMs> RecentRefusals::roomIn(const CallProfile &Call,
                                                 TimeMs Now) {
  if (Refusals.empty())
    return std::nullopt;
  if (Now >= NextForgetAt)
    forgetEnded(Now);
  const auto Found = Refusals.find(keyOf(Call));
  if (Found == Refusals.end() || Found->second.Until <= Now)
    return std::nullopt;
  const DurationMs Refused = Found->second.Remaining;
  const DurationMs Like = Refused + DurationMs(Refused.Value / LikenessDivisor);
  if (Call.Remaining > Like)
    return std::nullopt;
  return Found->second.Until - Now;
}

RecentRefusals::KeyView RecentRefusals::keyOf(const CallProfile &Call) {
  return {Call.Target, Call.Route, Call.Organisation};
}

void RecentRefusals::forgetEnded(TimeMs Now) {
  std::erase_if(Refusals,
                [Now](const auto &Item) { return Item.second.Until <= Now; });
  NextForgetAt = Now + MaxRefusalTime;
}

} // namespace fescuewood
