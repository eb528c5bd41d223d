/// \file
/// An event with the place and time at which it happened, and its JSON form.

#ifndef FESCUEWOOD_OPERATORS_STAMPEDEVENT_H
#define FESCUEWOOD_OPERATORS_STAMPEDEVENT_H

#include "core/Event.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// A hybrid logical time: wall clock milliseconds and a counter that orders
/// events of one millisecond. Ordered as a whole, across processes.
struct EventTime {
  std::int64_t WallMs = 0; ///< Since the Unix epoch.
  std::uint32_t Counter = 0;

  auto operator<=>(const EventTime &) const = default;
};

/// An event as it stands in the time line.
struct StampedEvent {
  std::uint64_t Sequence = 0; ///< Rises by one per event of one process.
  EventTime Time;
  std::string Node;   ///< The instance's name.
  std::string Domain; ///< Its failure domain.
  Event What;
};

/// The value of a field, or an empty view when the event has none.
std::string_view fieldValue(const Event &What, std::string_view Key);

/// One JSON object without a line end.
std::string toJsonLine(const StampedEvent &Value);

/// Reads what \ref toJsonLine wrote. Returns nothing for a line that is no such
/// object or that names an event that this version does not know.
std::optional<StampedEvent> fromJsonLine(std::string_view Line);

/// One line for people: time, level, number, name, place and fields.
std::string toTextLine(const StampedEvent &Value);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_STAMPEDEVENT_H
