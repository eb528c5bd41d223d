#include "core/Event.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace fescuewood {

namespace {

constexpr auto Entries = std::to_array<EventEntry>({
#define FESCUEWOOD_EVENT(Name, Number, Level, Text)                            \
  {EventId::Name, #Name, EventLevel::Level, Text},
#include "core/Event.def"
#undef FESCUEWOOD_EVENT
});

const EventEntry *find(EventId Id) {
  const auto *It =
      std::find_if(Entries.begin(), Entries.end(),
                   [&](const EventEntry &E) { return E.Id == Id; });
  return It == Entries.end() ? nullptr : It;
}

} // namespace

std::span<const EventEntry> eventCatalogue() { return Entries; }

const EventEntry &eventEntry(EventId Id) {
  const EventEntry *Entry = find(Id);
  assert(Entry && "every EventId has a catalogue entry");
  return *Entry;
}

std::optional<EventId> eventFromNumber(std::uint16_t Number) {
  const EventEntry *Entry = find(static_cast<EventId>(Number));
  if (!Entry)
    return std::nullopt;
  return Entry->Id;
}

std::string_view levelName(EventLevel Level) {
  switch (Level) {
  case EventLevel::Debug:
    return "debug";
  case EventLevel::Info:
    return "info";
  case EventLevel::Warn:
    return "warn";
  case EventLevel::Error:
    return "error";
  }
  return "error";
}

} // namespace fescuewood
