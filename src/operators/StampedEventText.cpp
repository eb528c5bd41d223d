#include "operators/StampedEvent.h"

#include <charconv>

#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

/// Takes the next word off a line; words are parted by spaces.
std::string_view takeWord(std::string_view &Line) {
  const std::size_t Start = std::min(Line.find_first_not_of(' '), Line.size());
  Line.remove_prefix(Start);
  const std::string_view Word = Line.substr(0, Line.find(' '));
  Line.remove_prefix(Word.size());
  return Word;
}

/// Length of the JSON string at the start of \p Text, or 0.
std::size_t quotedLength(std::string_view Text) {
  for (std::size_t I = 1; I < Text.size(); ++I) {
    if (Text[I] == '\\')
      ++I;
    else if (Text[I] == '"')
      return I + 1;
  }
  return 0;
}

/// Takes the next `key=value` off a line, or nothing when there is none.
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
bool readNumber(std::string_view Text, Number &Into) {
  const char *End = Text.data() + Text.size();
  const auto Result = std::from_chars(Text.data(), End, Into);
  return Result.ec == std::errc() && Result.ptr == End;
}

bool readTime(std::string_view Text, HybridTime &Into) {
  const std::size_t Dot = Text.find('.');
  return Dot != std::string_view::npos &&
         readNumber(Text.substr(0, Dot), Into.WallMs) &&
         readNumber(Text.substr(Dot + 1), Into.Counter);
}

/// Stores a field that stands in every line; false for any other field.
bool storePlace(const EventField &Field, StampedEvent &Into) {
  if (Field.Key == "at")
    Into.Node = Field.Value;
  else if (Field.Key == "at_domain")
    Into.Domain = Field.Value;
  else
    return false;
  return true;
}

/// The four fields that begin every line, in their order.
bool readPlaceAndTime(std::string_view &Line, StampedEvent &Into) {
  for (int I = 0; I < 2; ++I) {
    const auto Field = takeField(Line);
    if (!Field || !storePlace(*Field, Into))
      return false;
  }
  const auto Time = takeField(Line);
  if (!Time || Time->Key != "hlc" || !readTime(Time->Value, Into.Time))
    return false;
  const auto Sequence = takeField(Line);
  return Sequence && Sequence->Key == "seq" &&
         readNumber(std::string_view(Sequence->Value), Into.Sequence);
}

} // namespace

std::optional<StampedEvent> fromTextLine(std::string_view Line) {
  takeWord(Line); // The readable time repeats the field `hlc`.
  takeWord(Line); // The level follows from the number.
  std::uint16_t Number = 0;
  if (!readNumber(takeWord(Line), Number))
    return std::nullopt;
  const auto Id = eventFromNumber(Number);
  if (!Id || takeWord(Line) != eventEntry(*Id).Name)
    return std::nullopt;
  StampedEvent Value;
  Value.What.Id = *Id;
  if (!readPlaceAndTime(Line, Value))
    return std::nullopt;
  while (Line.find_first_not_of(' ') != std::string_view::npos) {
    auto Field = takeField(Line);
    if (!Field)
      return std::nullopt;
    Value.What.Fields.push_back(std::move(*Field));
  }
  return Value;
}

} // namespace fescuewood
