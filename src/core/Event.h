/// \file
/// Numbered events: one occurrence that the log and the time line both show.
///
/// A package reports with an \ref EventHook that it was given; it neither
/// formats nor filters. New events go into Event.def and docs/EVENTS.md.
/// An event never carries a key, a request body or a header value.

#ifndef FESCUEWOOD_CORE_EVENT_H
#define FESCUEWOOD_CORE_EVENT_H

#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// The documented number of an event.
enum class EventId : std::uint16_t {
#define FESCUEWOOD_EVENT(Name, Number, Level, Text) Name = (Number),
#include "core/Event.def"
#undef FESCUEWOOD_EVENT
};

enum class EventLevel : std::uint8_t { Debug, Info, Warn, Error };

/// One row of the catalogue of events.
struct EventEntry {
  EventId Id;
  std::string_view Name;
  EventLevel Level;
  std::string_view Text;
};

/// A key=value detail of an event. Keys are lower case: `version`, `domain`,
/// `organisation`, `target`, `node`, `call`, `reason`, `file`, `line`.
struct EventField {
  std::string Key;
  std::string Value;
};

/// One occurrence, before it is stamped.
struct Event {
  EventId Id;
  std::vector<EventField> Fields;
};

/// Receives events from any thread; must not block.
using EventHook = std::function<void(const Event &)>;

/// Every event in the order of its number.
std::span<const EventEntry> eventCatalogue();

/// The catalogue row of an event.
const EventEntry &eventEntry(EventId Id);

/// The event with this number, or nothing if this version does not know it.
std::optional<EventId> eventFromNumber(std::uint16_t Number);

/// Lower-case name of a level, as in the settings.
std::string_view levelName(EventLevel Level);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_EVENT_H
