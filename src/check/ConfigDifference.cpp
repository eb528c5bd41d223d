#include "check/ConfigDifference.h"

#include "check/PrintableText.h"

#include <limits>
#include <map>
#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

using Fields = std::map<std::string, std::string>;
using Entries = std::map<std::string, Fields>;

constexpr std::string_view KeyKind = "key ";
constexpr std::string_view RouteKind = "route ";
constexpr std::string_view DestinationField = "destination";
constexpr std::string_view HostField = "host";
constexpr std::string_view MethodField = "method";
constexpr std::string_view PathField = "path";

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

Fields fieldsOf(const Route &R) {
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

Fields fieldsOf(const Service &S) {
  return {{"slots", text(std::size_t(S.Slots))},
          {"health path", S.HealthPath},
          {"connections", text(std::size_t(S.MaxConnections))},
          {"slow start", text(S.SlowStart)},
          {"warm-up rate", text(S.WarmupPerSecond)}};
}

Fields fieldsOf(const Domain &D) {
  return {{"region", D.Region},
          {"status", D.Status == DomainStatus::In ? "in" : "out"},
          {"nodes", text(std::size_t(D.Nodes))}};
}

Fields fieldsOf(const Rate &R) {
  return {{"per second", text(R.PerSecond)}, {"burst", text(R.Burst)}};
}

Fields fieldsOf(const Organisation &O) {
  return {{"rate", O.Rate},
          {"weight", text(std::size_t(O.Weight))},
          {"priority", text(std::size_t(O.Priority))}};
}

Fields fieldsOf(const CallerLimits &L) {
  return {{"header limit", fmt::format("{} bytes", L.MaxHeaderBytes)},
          {"body limit", fmt::format("{} bytes", L.MaxBodyBytes)},
          {"header timeout", text(L.HeaderTimeout)},
          {"idle timeout", text(L.IdleTimeout)}};
}

/// Adds an entry. The platform's form permits equal names, which are numbered.
void add(std::string_view Kind, const std::string &Name, Fields Values,
         Entries &Result) {
  const std::string Plain = std::string(Kind) + Name;
  std::string Entry = Plain;
  for (int Number = 2; Result.contains(Entry); ++Number)
    Entry = fmt::format("{} ({})", Plain, Number);
  Result.emplace(std::move(Entry), std::move(Values));
}

template <typename Map>
void addAll(std::string_view Kind, const Map &Named, Entries &Result) {
  for (const auto &[Name, Value] : Named)
    add(Kind, Name, fieldsOf(Value), Result);
}

Entries entriesOf(const Snapshot &Config) {
  Entries Result;
  for (const Route &R : Config.Routes)
    add(RouteKind, R.Name, fieldsOf(R), Result);
  addAll("service ", Config.Services, Result);
  addAll("domain ", Config.Domains, Result);
  addAll("rate ", Config.Rates, Result);
  addAll("organisation ", Config.Organisations, Result);
  for (const Key &K : Config.Keys)
    Result.emplace(
        fmt::format("{}{} {}", KeyKind, K.Organisation, K.Sha256.shortHex()),
        Fields());
  if (Config.Limits)
    Result.emplace("limits", fieldsOf(*Config.Limits));
  return Result;
}

bool isImmediateRemoval(std::string_view Entry) {
  return Entry.starts_with(KeyKind) || Entry.starts_with(RouteKind);
}

bool isImmediateChange(std::string_view Entry, std::string_view Field) {
  return Entry.starts_with(RouteKind) &&
         (Field == DestinationField || Field == HostField ||
          Field == MethodField || Field == PathField);
}

/// Compares the fields of an entry that is in both configurations; the kind of
/// an entry determines its fields.
void compareFields(const std::string &Entry, const Fields &Old,
                   const Fields &New, Differences &Result) {
  for (const auto &[Field, OldText] : Old)
    if (const std::string &NewText = New.at(Field); NewText != OldText)
      Result.push_back(
          {Entry, Field, OldText, NewText, isImmediateChange(Entry, Field)});
}

} // namespace

std::string Difference::text() const {
  const std::string_view Suffix = Immediate ? " (immediate)" : "";
  if (!Old)
    return printableText(fmt::format("+ {}{}", Entry, Suffix));
  if (!New)
    return printableText(fmt::format("- {}{}", Entry, Suffix));
  return printableText(
      fmt::format("~ {}: {}: {} -> {}{}", Entry, Field, *Old, *New, Suffix));
}

Differences compareConfigurations(const Snapshot &Old, const Snapshot &New) {
  const Entries Before = entriesOf(Old);
  const Entries After = entriesOf(New);
  Entries All = Before;
  All.insert(After.begin(), After.end());
  Differences Result;
  for (const auto &[Entry, Values] : All) {
    const auto OldEntry = Before.find(Entry);
    const auto NewEntry = After.find(Entry);
    if (OldEntry == Before.end())
      Result.push_back({Entry, "", std::nullopt, "present", false});
    else if (NewEntry == After.end())
      Result.push_back(
          {Entry, "", "present", std::nullopt, isImmediateRemoval(Entry)});
    else
      compareFields(Entry, OldEntry->second, NewEntry->second, Result);
  }
  return Result;
}

} // namespace fescuewood
