/// \file
/// An event with its origin and time, and its JSON and text formats.

#ifndef FESCUEWOOD_OPERATORS_STAMPEDEVENT_H
#define FESCUEWOOD_OPERATORS_STAMPEDEVENT_H

#include "core/Event.h"
#include "core/HybridClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// An event in the timeline.
struct StampedEvent {
  std::uint64_t Sequence = 0; ///< Increases by one per event of a process.
  HybridTime Time;
  std::string Node;   ///< Name of the instance.
  std::string Domain; ///< Failure domain of the instance.
  Event Occurrence;
};

/// Returns the value of a field, or an empty view if the event lacks it.
std::string_view fieldValue(const Event &Occurrence, std::string_view Key);

/// Formats an event as a JSON object without a line end.
std::string toJsonLine(const StampedEvent &Value);

/// Parses the output of \ref toJsonLine. Returns std::nullopt if the line is
/// malformed or the event number is unknown to this version.
std::optional<StampedEvent> fromJsonLine(std::string_view Line);

/// Formats an event as a line for logs: time, level, number and name, followed
/// by `key=value` fields. A value that is empty or contains white space, quotes
/// or '=' is written as a JSON string.
std::string toTextLine(const StampedEvent &Value);

/// Parses the output of \ref toTextLine. Returns std::nullopt for other lines.
std::optional<StampedEvent> fromTextLine(std::string_view Line);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_STAMPEDEVENT_H
