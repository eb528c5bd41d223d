#include "operators/Timeline.h"

#include <algorithm>
#include <tuple>

namespace fescuewood {

namespace {

bool matchesValue(const std::string &Expected, std::string_view Actual) {
  return Expected.empty() || Expected == Actual;
}

/// Returns true if the request id \p Actual is \p Expected, or starts with it
/// and a dot: calls that a target makes for a request have ids of that form.
bool matchesRequest(const std::string &Expected, std::string_view Actual) {
  if (Expected.empty() || Expected == Actual)
    return true;
  return Actual.size() > Expected.size() && Actual.starts_with(Expected) &&
         Actual[Expected.size()] == '.';
}

auto sortKey(const StampedEvent &Value) {
  return std::tie(Value.Time, Value.Node, Value.Sequence);
}

} // namespace

bool matches(const TimelineFilter &Filter, const StampedEvent &Value) {
  const Event &Occurrence = Value.Occurrence;
  if (!matchesRequest(Filter.Request, fieldValue(Occurrence, "request")))
    return false;
  if (!matchesValue(Filter.Call, fieldValue(Occurrence, "call")))
    return false;
  if (!matchesValue(Filter.Organisation,
                    fieldValue(Occurrence, "organisation")))
    return false;
  if (!matchesValue(Filter.Target, fieldValue(Occurrence, "target")))
    return false;
  if (!matchesValue(Filter.Domain, Value.Domain) &&
      !matchesValue(Filter.Domain, fieldValue(Occurrence, "domain")))
    return false;
  if (!matchesValue(Filter.Node, Value.Node))
    return false;
  if (Filter.Id && *Filter.Id != Occurrence.Id)
    return false;
  if (Filter.FromWallMs && Value.Time.WallMs < *Filter.FromWallMs)
    return false;
  return !Filter.ToWallMs || Value.Time.WallMs < *Filter.ToWallMs;
}

std::vector<StampedEvent> mergeTimeline(std::vector<StampedEvent> Events,
                                        const TimelineFilter &Filter) {
  std::erase_if(Events,
                [&](const StampedEvent &E) { return !matches(Filter, E); });
  std::sort(Events.begin(), Events.end(),
            [](const StampedEvent &Left, const StampedEvent &Right) {
              return sortKey(Left) < sortKey(Right);
            });
  const auto Same = [](const StampedEvent &Left, const StampedEvent &Right) {
    return sortKey(Left) == sortKey(Right);
  };
  Events.erase(std::unique(Events.begin(), Events.end(), Same), Events.end());
  return Events;
}

} // namespace fescuewood
