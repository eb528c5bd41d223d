#include "operators/StampedEvent.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

/// Removes and returns the next space-separated word of a line.
std::string_view takeWord(std::string_view &Line) {
  const std::size_t Start = std::min(Line.find_first_not_of(' '), Line.size());
  Line.remove_prefix(Start);
  const std::string_view Word = Line.substr(0, Line.find(' '));
  Line.remove_prefix(Word.size());
  return Word;
}

/// Returns the length of the JSON string at the start of \p Text, or 0.
std::size_t quotedLength(std::string_view Text) {
  for (std::size_t I = 1; I < Text.size(); ++I) {
    if (Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      return I + 1;
  }
  return 0;
}

/// Removes and returns the next `key=value` field of a line, if any.
std::optional<EventField> takeField(std::string_view &Line) {
  const std::size_t Start = Line.find_first_not_of(' ');
  const std::size_t Equals = Line.find('=');
  if (Start == std::string_view::npos || Equals == std::string_view::npos)
    return std::nullopt;
  EventField Field;
  Field.Key = Line.substr(Start, Equals - Start);
  Line.remove_prefix(Equals + 1);
  if (!Line.starts_with('"')) {
    Field.Value = Line.substr(0, Line.find(' '));
    Line.remove_prefix(Field.Value.size());
    return Field;
  }
  const std::string_view Quoted = Line.substr(0, quotedLength(Line));
  const auto Json = nlohmann::json::parse(Quoted, nullptr, false);
  if (!Json.is_string())
    return std::nullopt;
  Field.Value = Json.get<std::string>();
  Line.remove_prefix(Quoted.size());
  return Field;
}

template <typename Number>
bool readNumber(std::string_view Text, Number &Result) {
  const char *End = Text.data() + Text.size();
  const auto Parsed = std::from_chars(Text.data(), End, Result);
  return Parsed.ec == std::errc() && Parsed.ptr == End;
}

bool readTime(std::string_view Text, HybridTime &Result) {
  const std::size_t Dot = Text.find('.');
  return Dot != std::string_view::npos &&
         readNumber(Text.substr(0, Dot), Result.WallMs) &&
         readNumber(Text.substr(Dot + 1), Result.Counter);
}

/// Stores a field of the event's origin; returns false for other fields.
bool storeOrigin(const EventField &Field, StampedEvent &Result) {
  if (Field.Key == "at")
    Result.Node = Field.Value;
  else if (Field.Key == "at_domain")
    Result.Domain = Field.Value;
  else
    return false;
  return true;
}

/// Reads the four fields with which every line starts, in their order.
bool readOriginAndTime(std::string_view &Line, StampedEvent &Result) {
  for (int I = 0; I < 2; ++I) {
    const auto Field = takeField(Line);
    if (!Field || !storeOrigin(*Field, Result))
      return false;
  }
  const auto Time = takeField(Line);
  if (!Time || Time->Key != "hlc" || !readTime(Time->Value, Result.Time))
    return false;
  const auto Sequence = takeField(Line);
  return Sequence && Sequence->Key == "seq" &&
         readNumber(std::string_view(Sequence->Value), Result.Sequence);
}

} // namespace

std::optional<StampedEvent> fromTextLine(std::string_view Line) {
  takeWord(Line); // The timestamp repeats the field `hlc`.
  takeWord(Line); // The event number implies the level.
  std::uint16_t Number = 0;
  if (!readNumber(takeWord(Line), Number))
    return std::nullopt;
  const auto Id = eventFromNumber(Number);
  if (!Id || takeWord(Line) != eventEntry(*Id).Name)
    return std::nullopt;
  StampedEvent Value;
  Value.Occurrence.Id = *Id;
  if (!readOriginAndTime(Line, Value))
    return std::nullopt;
  while (Line.find_first_not_of(' ') != std::string_view::npos) {
    auto Field = takeField(Line);
    if (!Field)
      return std::nullopt;
    Value.Occurrence.Fields.push_back(std::move(*Field));
  }
  return Value;
}

} // namespace fescuewood
