/// \file
/// An event with the place and time at which it happened, and its JSON form.

#ifndef FESCUEWOOD_OPERATORS_STAMPEDEVENT_H
#define FESCUEWOOD_OPERATORS_STAMPEDEVENT_H

#include "core/Event.h"
#include "core/HybridClock.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// An event as it stands in the time line.
struct StampedEvent {
  std::uint64_t Sequence = 0; ///< Rises by one per event of one process.
  HybridTime Time;
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

/// One line for people and logs: time, level, number, name, then `key=value`
/// words. A value that is not one plain word stands as a JSON string.
std::string toTextLine(const StampedEvent &Value);

/// Reads what \ref toTextLine wrote; nothing for any other line.
std::optional<StampedEvent> fromTextLine(std::string_view Line);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_STAMPEDEVENT_H
