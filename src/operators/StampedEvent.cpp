#include "operators/StampedEvent.h"

#include <ctime>

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

constexpr std::int64_t MsPerSecond = 1000;

std::string utcText(std::int64_t WallMs) {
  const std::time_t Seconds = WallMs / MsPerSecond;
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(Seconds),
                     WallMs % MsPerSecond);
}

/// Quotes a value that is not a plain word, so that it can be parsed again.
std::string encodeWord(const std::string &Value) {
  const bool Plain =
      !Value.empty() && Value.find_first_of(" \t\r\n\"=") == std::string::npos;
  if (Plain)
    return Value;
  constexpr int Compact = -1;
  return nlohmann::json(Value).dump(Compact, ' ', false,
                                    nlohmann::json::error_handler_t::replace);
}

} // namespace

std::string_view fieldValue(const Event &Occurrence, std::string_view Key) {
  for (const EventField &Field : Occurrence.Fields) {
    if (Field.Key == Key)
      return Field.Value;
  }
  return {};
}

std::string toJsonLine(const StampedEvent &Value) {
  const EventEntry &Entry = eventEntry(Value.Occurrence.Id);
  nlohmann::ordered_json Json;
  Json["sequence"] = Value.Sequence;
  Json["time_ms"] = Value.Time.WallMs;
  Json["counter"] = Value.Time.Counter;
  Json["node"] = Value.Node;
  Json["domain"] = Value.Domain;
  Json["event"] = static_cast<int>(Entry.Id);
  Json["name"] = Entry.Name;
  Json["level"] = levelName(Entry.Level);
  nlohmann::ordered_json Fields = nlohmann::ordered_json::object();
  for (const EventField &Field : Value.Occurrence.Fields)
    Fields[Field.Key] = Field.Value;
  Json["fields"] = std::move(Fields);
  constexpr int Compact = -1;
  return Json.dump(Compact, ' ', false,
                   nlohmann::json::error_handler_t::replace);
}

std::optional<StampedEvent> fromJsonLine(std::string_view Line) {
  const auto Json = nlohmann::ordered_json::parse(Line, nullptr, false);
  if (!Json.is_object())
    return std::nullopt;
  try {
    const auto Id = eventFromNumber(Json.at("event").get<std::uint16_t>());
    if (!Id)
      return std::nullopt;
    StampedEvent Value;
    Value.Sequence = Json.at("sequence").get<std::uint64_t>();
    Value.Time.WallMs = Json.at("time_ms").get<std::int64_t>();
    Value.Time.Counter = Json.at("counter").get<std::uint16_t>();
    Value.Node = Json.at("node").get<std::string>();
    Value.Domain = Json.at("domain").get<std::string>();
    Value.Occurrence.Id = *Id;
    for (const auto &[Key, Text] : Json.at("fields").items())
      Value.Occurrence.Fields.push_back({Key, Text.get<std::string>()});
    return Value;
  } catch (const nlohmann::json::exception &) {
    return std::nullopt;
  }
}

std::string toTextLine(const StampedEvent &Value) {
  const EventEntry &Entry = eventEntry(Value.Occurrence.Id);
  std::string Line =
      fmt::format("{} {:<5} {} {} at={} at_domain={} hlc={}.{} seq={}",
                  utcText(Value.Time.WallMs), levelName(Entry.Level),
                  static_cast<int>(Entry.Id), Entry.Name,
                  encodeWord(Value.Node), encodeWord(Value.Domain),
                  Value.Time.WallMs, Value.Time.Counter, Value.Sequence);
  for (const EventField &Field : Value.Occurrence.Fields)
    Line += fmt::format(" {}={}", Field.Key, encodeWord(Field.Value));
  return Line;
}

} // namespace fescuewood
