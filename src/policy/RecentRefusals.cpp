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
  if (Refusals.size() >= MaxRecentRefusals) {
    std::erase_if(Refusals,
                  [Now](const auto &Item) { return Item.second.Until <= Now; });
    if (Refusals.size() >= MaxRecentRefusals)
      return;
  }
  Refusals[keyOf(Refused)] = {Now + std::min(RoomIn, MaxRefusalTime),
                              Refused.Remaining};
}

std::optional<DurationMs> RecentRefusals::roomIn(const CallProfile &Call,
                                                 TimeMs Now) const {
  if (Refusals.empty())
    return std::nullopt;
  const auto Found = Refusals.find(keyOf(Call));
  if (Found == Refusals.end() || Found->second.Until <= Now)
    return std::nullopt;
  const DurationMs Refused = Found->second.Remaining;
  const DurationMs Like = Refused + DurationMs(Refused.Value / LikenessDivisor);
  if (Call.Remaining > Like)
    return std::nullopt;
  return Found->second.Until - Now;
}

RecentRefusals::Key RecentRefusals::keyOf(const CallProfile &Call) {
  return {std::string(Call.Target), std::string(Call.Route),
          std::string(Call.Organisation)};
}

} // namespace fescuewood
