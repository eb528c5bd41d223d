/// \file
/// Numbered events that appear in the log and the timeline.
///
/// A package passes its events to an \ref EventHook; it neither formats nor
/// filters them. New events are added to Event.def and docs/EVENTS.md. An event
/// never contains an API key, a request body or a header value.

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

/// Event identifier; its value is the documented number.
enum class EventId : std::uint16_t {
#define FESCUEWOOD_EVENT(Name, Number, Level, Text) Name = (Number),
#include "core/Event.def"
#undef FESCUEWOOD_EVENT
};

enum class EventLevel : std::uint8_t { Debug, Info, Warn, Error };

/// Entry in the event catalogue.
struct EventEntry {
  EventId Id;
  std::string_view Name;
  EventLevel Level;
  std::string_view Text;
};

/// Key-value detail of an event. Keys are lower case: `version`, `domain`,
/// `organisation`, `target`, `node`, `call`, `reason`, `file`, `line`.
struct EventField {
  std::string Key;
  std::string Value;
};

/// Event occurrence, before a timestamp is added.
struct Event {
  EventId Id;
  std::vector<EventField> Fields;
};

/// Receives events from any thread; must not block.
using EventHook = std::function<void(const Event &)>;

/// All events, ordered by number.
std::span<const EventEntry> eventCatalogue();

/// Catalogue entry of an event.
const EventEntry &eventEntry(EventId Id);

/// Event with this number, or std::nullopt if this release does not define it.
std::optional<EventId> eventFromNumber(std::uint16_t Number);

/// Lower-case name of a level, as used in the settings.
std::string_view levelName(EventLevel Level);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_EVENT_H
