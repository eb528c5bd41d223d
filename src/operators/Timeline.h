/// \file
/// The time line of events over all processes: merge, filter, print, draw.
///
/// Collect the events of several nodes or log files, call \ref mergeTimeline,
/// and print the result with \ref toTextLine, \ref toJsonLine or
/// \ref drawTimeline. Pure.

#ifndef FESCUEWOOD_OPERATORS_TIMELINE_H
#define FESCUEWOOD_OPERATORS_TIMELINE_H

#include "operators/StampedEvent.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fescuewood {

/// Which events to show; an empty or absent member lets all pass.
struct TimelineFilter {
  std::string Request; ///< Calls made for it, named after it, included.
  std::string Call;
  std::string Organisation;
  std::string Target;
  std::string Domain; ///< The node's domain, or the event's `domain` field.
  std::string Node;
  std::optional<EventId> Id;
  std::optional<std::int64_t> FromWallMs; ///< Inclusive.
  std::optional<std::int64_t> ToWallMs;   ///< Exclusive.
};

/// Whether \p Filter lets the event through.
bool passes(const TimelineFilter &Filter, const StampedEvent &Value);

/// Orders events by hybrid time, then node, then sequence; drops events that
/// came twice (same node, time and sequence) and those that the filter stops.
std::vector<StampedEvent> mergeTimeline(std::vector<StampedEvent> Events,
                                        const TimelineFilter &Filter);

/// An SVG picture: a lane per failure domain, a mark per event, coloured by
/// level, with the event's text as the mark's tooltip and a legend of names.
std::string drawTimeline(std::span<const StampedEvent> Ordered);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_TIMELINE_H
