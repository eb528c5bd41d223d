#include "check/ConfigEntries.h"

#include "core/JsonText.h"

#include <limits>
#include <utility>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

namespace fescuewood {

namespace {

/// Nesting of the JSON form: the object, its entries and their fields.
constexpr std::size_t MaxNesting = 3;

constexpr const char *EntriesMember = "entries";

std::string text(DurationMs Duration) {
  return fmt::format("{} ms", Duration.Value);
}

std::string text(bool Flag) { return Flag ? "yes" : "no"; }

std::string text(std::size_t Number) { return fmt::format("{}", Number); }

std::string text(double Number) { return fmt::format("{}", Number); }

std::string destinationText(const Route &R) {
  if (R.Split.empty())
    return R.Service;
  std::string Text;
  for (const SplitPart &Part : R.Split)
    Text += fmt::format("{}{}:{}", Text.empty() ? "" : ", ", Part.Service,
                        Part.Weight);
  return Text;
}

std::string bodyLimitText(std::size_t Bytes) {
  return Bytes == std::numeric_limits<std::size_t>::max()
             ? "none"
             : fmt::format("{} bytes", Bytes);
}

EntryFields fieldsOf(const Route &R) {
  return {{std::string(MethodField), R.Method},
          {std::string(HostField), R.Host},
          {std::string(PathField), R.Path},
          {std::string(DestinationField), destinationText(R)},
          {"access", R.Access == RouteAccess::Open ? "open" : "key"},
          {"idempotent", text(R.Idempotent)},
          {"wait", text(R.CanWait)},
          {"large responses", text(R.Large)},
          {"large bodies", text(R.LargeBody)},
          {"timeout", text(R.Timeout)},
          {"objective", text(R.Objective)},
          {"attempts", text(std::size_t(R.MaxAttempts))},
          {"priority", text(std::size_t(R.Priority))},
          {"body limit", bodyLimitText(R.MaxBodyBytes)}};
}

EntryFields fieldsOf(const Service &S) {
  return {{"slots", text(std::size_t(S.Slots))},
          {"health path", S.HealthPath},
          {"connections", text(std::size_t(S.MaxConnections))},
          {"slow start", text(S.SlowStart)},
          {"warm-up rate", text(S.WarmupPerSecond)}};
}

EntryFields fieldsOf(const Domain &D) {
  return {{"region", D.Region},
          {"status", D.Status == DomainStatus::In ? "in" : "out"},
          {"nodes", text(std::size_t(D.Nodes))}};
}

EntryFields fieldsOf(const Rate &R) {
  return {{"per second", text(R.PerSecond)}, {"burst", text(R.Burst)}};
}

EntryFields fieldsOf(const Organisation &O) {
  return {{"rate", O.Rate},
          {"weight", text(std::size_t(O.Weight))},
          {"priority", text(std::size_t(O.Priority))}};
}

EntryFields fieldsOf(const CallerLimits &L) {
  return {{"header limit", fmt::format("{} bytes", L.MaxHeaderBytes)},
          {"body limit", fmt::format("{} bytes", L.MaxBodyBytes)},
          {"header timeout", text(L.HeaderTimeout)},
          {"idle timeout", text(L.IdleTimeout)}};
}

/// Adds an entry. The platform's form permits equal names, which are numbered.
void add(std::string_view Kind, const std::string &Name, EntryFields Values,
         ConfigEntries &Result) {
  const std::string Plain = std::string(Kind) + Name;
  std::string Entry = Plain;
  for (int Number = 2; Result.contains(Entry); ++Number)
    Entry = fmt::format("{} ({})", Plain, Number);
  Result.emplace(std::move(Entry), std::move(Values));
}

template <typename Map>
void addAll(std::string_view Kind, const Map &Named, ConfigEntries &Result) {
  for (const auto &[Name, Value] : Named)
    add(Kind, Name, fieldsOf(Value), Result);
}

/// Fields of an entry in JSON; std::nullopt if one is not a string.
std::optional<EntryFields> parseFields(const nlohmann::json &Object) {
  if (!Object.is_object())
    return std::nullopt;
  EntryFields Fields;
  for (const auto &[Name, Value] : Object.items()) {
    if (!Value.is_string())
      return std::nullopt;
    Fields.emplace(Name, Value.get<std::string>());
  }
  return Fields;
}

} // namespace

ConfigEntries configEntries(const Snapshot &Config) {
  ConfigEntries Result;
  for (const Route &R : Config.Routes)
    add(RouteEntryKind, R.Name, fieldsOf(R), Result);
  addAll("service ", Config.Services, Result);
  addAll("domain ", Config.Domains, Result);
  addAll("rate ", Config.Rates, Result);
  addAll("organisation ", Config.Organisations, Result);
  for (const Key &K : Config.Keys)
    Result.emplace(fmt::format("{}{} {}", KeyEntryKind, K.Organisation,
                               K.Sha256.shortHex()),
                   EntryFields());
  if (Config.Limits)
    Result.emplace("limits", fieldsOf(*Config.Limits));
  return Result;
}

std::string configEntriesJson(const ConfigEntries &Entries) {
  nlohmann::json Document;
  Document[EntriesMember] = nlohmann::json::object();
  for (const auto &[Entry, Fields] : Entries) {
    nlohmann::json Object = nlohmann::json::object();
    for (const auto &[Name, Value] : Fields)
      Object[Name] = Value;
    Document[EntriesMember][Entry] = std::move(Object);
  }
  return Document.dump() + "\n";
}

std::optional<ConfigEntries> parseConfigEntries(std::string_view Json) {
  const nlohmann::json Document = parseJson(Json, MaxNesting);
  const auto List = Document.find(EntriesMember);
  if (List == Document.end() || !List->is_object())
    return std::nullopt;
  ConfigEntries Entries;
  for (const auto &[Name, Object] : List->items()) {
    std::optional<EntryFields> Fields = parseFields(Object);
    if (!Fields)
      return std::nullopt;
    Entries.emplace(Name, std::move(*Fields));
  }
  return Entries;
}

} // namespace fescuewood
