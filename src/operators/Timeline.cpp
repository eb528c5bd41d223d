#include "operators/Timeline.h"

#include <algorithm>
#include <tuple>

namespace fescuewood {

namespace {

bool wants(const std::string &Wanted, std::string_view Present) {
  return Wanted.empty() || Wanted == Present;
}

/// Whether an id is the wanted one, or begins with it and a dot: a call that a
/// target makes for a request is named after it.
bool belongsTo(const std::string &Wanted, std::string_view Present) {
  if (Wanted.empty() || Wanted == Present)
    return true;
  return Present.size() > Wanted.size() && Present.starts_with(Wanted) &&
         Present[Wanted.size()] == '.';
}

auto orderOf(const StampedEvent &Value) {
  return std::tie(Value.Time, Value.Node, Value.Sequence);
}

} // namespace

bool passes(const TimelineFilter &Filter, const StampedEvent &Value) {
  const Event &What = Value.What;
  if (!belongsTo(Filter.Request, fieldValue(What, "request")))
    return false;
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
