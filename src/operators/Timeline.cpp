#include "operators/Timeline.h"

#include <algorithm>
#include <tuple>

namespace fescuewood {

namespace {

bool wants(const std::string &Wanted, std::string_view Present) {
  return Wanted.empty() || Wanted == Present;
}

auto orderOf(const StampedEvent &Value) {
  return std::tie(Value.Time, Value.Node, Value.Sequence);
}

} // namespace

bool passes(const TimelineFilter &Filter, const StampedEvent &Value) {
  const Event &What = Value.What;
  if (!wants(Filter.Call, fieldValue(What, "call")))
    return false;
  if (!wants(Filter.Organisation, fieldValue(What, "organisation")))
    return false;
  if (!wants(Filter.Target, fieldValue(What, "target")))
    return false;
  if (!wants(Filter.Domain, Value.Domain) &&
      !wants(Filter.Domain, fieldValue(What, "domain")))
    return false;
  if (!wants(Filter.Node, Value.Node))
    return false;
  if (Filter.Id && *Filter.Id != What.Id)
    return false;
  if (Filter.FromWallMs && Value.Time.WallMs < *Filter.FromWallMs)
    return false;
  return !Filter.ToWallMs || Value.Time.WallMs < *Filter.ToWallMs;
}

std::vector<StampedEvent> mergeTimeline(std::vector<StampedEvent> Events,
                                        const TimelineFilter &Filter) {
  std::erase_if(Events,
                [&](const StampedEvent &E) { return !passes(Filter, E); });
  std::sort(Events.begin(), Events.end(),
            [](const StampedEvent &Left, const StampedEvent &Right) {
              return orderOf(Left) < orderOf(Right);
            });
  const auto Same = [](const StampedEvent &Left, const StampedEvent &Right) {
    return orderOf(Left) == orderOf(Right);
  };
  Events.erase(std::unique(Events.begin(), Events.end(), Same), Events.end());
  return Events;
}

} // namespace fescuewood
