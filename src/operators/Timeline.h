/// \file
/// The timeline of the events of several processes.
///
/// \ref mergeTimeline merges and filters the events of several nodes or log
/// files; \ref toTextLine, \ref toJsonLine and \ref drawTimeline format the
/// result. The functions do no I/O and keep no state.

#ifndef FESCUEWOOD_OPERATORS_TIMELINE_H
#define FESCUEWOOD_OPERATORS_TIMELINE_H

#include "operators/StampedEvent.h"

#include <optional>
#include <span>
#include <string>
#include <vector>

namespace fescuewood {

/// Criteria for the events to show; an empty or absent member matches all.
struct TimelineFilter {
  std::string Request; ///< Includes calls made for it (ID.SUFFIX).
  std::string Call;
  std::string Organisation;
  std::string Target;
  std::string Domain; ///< Domain of the node or field `domain` of the event.
  std::string Node;
  std::optional<EventId> Id;
  std::optional<std::int64_t> FromWallMs; ///< Inclusive.
  std::optional<std::int64_t> ToWallMs;   ///< Exclusive.
};

/// Returns true if the event meets all criteria of \p Filter.
bool matches(const TimelineFilter &Filter, const StampedEvent &Value);

/// Sorts events by hybrid time, node and sequence, and removes duplicates (same
/// time, node and sequence) and events that do not match the filter.
std::vector<StampedEvent> mergeTimeline(std::vector<StampedEvent> Events,
                                        const TimelineFilter &Filter);

/// Draws a timeline as SVG: a lane per failure domain and a mark per event,
/// coloured by level, with the event's text line as tooltip. Marks of warnings
/// and errors are labelled with the event name where there is room.
std::string drawTimeline(std::span<const StampedEvent> Ordered);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_TIMELINE_H
