#include "intent/IntentSchema.h"

#include "core/Trim.h"
#include "ini/Forms.h"

#include <algorithm>
#include <vector>

namespace fescuewood {

namespace {

constexpr std::size_t MaxMethodBytes = 16;
constexpr std::size_t MaxRoutePathBytes = 512;
constexpr std::size_t MaxHostBytes = 255;
constexpr std::size_t MaxSplitParts = 64;
constexpr std::uint32_t MaxSplitWeight = 1000000;

bool isPathByte(char C) {
  return C > ' ' && C < 0x7f && C != '?' && C != '#' && C != '*';
}

std::optional<std::string> parsePath(std::string_view Text) {
  const bool Prefix = Text.ends_with('*');
  const std::string_view Literal =
      Text.substr(0, Text.size() - (Prefix ? 1 : 0));
  const bool Valid = Text.size() <= MaxRoutePathBytes &&
                     Literal.starts_with('/') &&
                     std::all_of(Literal.begin(), Literal.end(), isPathByte);
  if (!Valid)
    return std::nullopt;
  return std::string(Text);
}

ValueForm<std::string> pathForm() {
  return {
      "a path that starts with '/', or a prefix of paths with '*' at its end",
      &parsePath};
}

std::optional<std::string> parseMethod(std::string_view Text) {
  const bool Word = !Text.empty() && Text.size() <= MaxMethodBytes &&
                    std::all_of(Text.begin(), Text.end(),
                                [](char C) { return C >= 'A' && C <= 'Z'; });
  if (!Word && Text != "*")
    return std::nullopt;
  return std::string(Text);
}

ValueForm<std::string> methodForm() {
  return {"an HTTP method in capitals, or '*' for every method", &parseMethod};
}

ValueForm<DomainStatus> statusForm() {
  return oneOf<DomainStatus>(
      {{"in", DomainStatus::In}, {"out", DomainStatus::Out}});
}

ValueForm<RouteAccess> accessForm() {
  return oneOf<RouteAccess>(
      {{"key", RouteAccess::Keyed}, {"open", RouteAccess::Open}});
}

bool isHostByte(char C) {
  return (C >= 'a' && C <= 'z') || (C >= '0' && C <= '9') || C == '.' ||
         C == '-' || C == '_';
}

std::optional<std::string> parseHost(std::string_view Text) {
  const bool Valid = Text.size() <= MaxHostBytes &&
                     std::all_of(Text.begin(), Text.end(), isHostByte);
  return Valid ? std::optional(std::string(Text)) : std::nullopt;
}

ValueForm<std::string> hostForm() {
  return {"a host name in lower case, or empty", &parseHost};
}

std::optional<std::string> parseOptionalName(std::string_view Text) {
  if (Text.empty())
    return std::string();
  return nameForm().Parse(Text);
}

ValueForm<std::string> optionalNameForm() {
  return {nameForm().Text + ", or empty", &parseOptionalName};
}

std::optional<SplitPart> parseSplitPart(std::string_view Text) {
  const std::size_t Colon = Text.rfind(':');
  if (Colon == std::string_view::npos)
    return std::nullopt;
  const auto Name = nameForm().Parse(Text.substr(0, Colon));
  const auto Weight = wholeNumber<std::uint32_t>(0, MaxSplitWeight)
                          .Parse(Text.substr(Colon + 1));
  if (!Name || !Weight)
    return std::nullopt;
  return SplitPart{*Name, *Weight};
}

std::optional<std::vector<SplitPart>> parseSplit(std::string_view Text) {
  std::vector<SplitPart> Parts;
  std::uint64_t Total = 0;
  while (!Text.empty()) {
    const std::size_t End = std::min(Text.find(','), Text.size());
    const auto Part = parseSplitPart(trimmed(Text.substr(0, End), " "));
    if (!Part || Parts.size() >= MaxSplitParts)
      return std::nullopt;
    Total += Part->Weight;
    Parts.push_back(*Part);
    Text.remove_prefix(std::min(End + 1, Text.size()));
  }
  if (!Parts.empty() && Total == 0)
    return std::nullopt;
  return Parts;
}

ValueForm<std::vector<SplitPart>> splitForm() {
  return {"SERVICE:WEIGHT, SERVICE:WEIGHT, ... with a weight above 0, or empty",
          &parseSplit};
}

ValueForm<bool> keyStatusForm() {
  return oneOf<bool>({{"active", false}, {"withdrawn", true}});
}

constexpr auto Required = std::nullopt;

} // namespace

// One line per key: section, name, unit, default, form, member, meaning. A key
// without a default is required.
// clang-format off

template <> std::span<const KeyRow<Service>> intentRows() {
  static const std::vector<KeyRow<Service>> Table{
      keyRow<Service>("service", "slots", "requests", "1", wholeNumber<std::uint32_t>(1, 65535), &Service::Slots, "Concurrent requests that one warm target of the service can handle."),
      keyRow<Service>("service", "slow_start_ms", "ms", "0", milliseconds(0, 600000), &Service::SlowStart, "Time after its start for which a target is treated as cold."),
      keyRow<Service>("service", "warmup_per_second", "requests/s", "0", decimalNumber(0, 1000000), &Service::WarmupPerSecond, "Maximum rate of requests to a cold target; 0 for no limit."),
  };
  return Table;
}

template <> std::span<const KeyRow<Domain>> intentRows() {
  static const std::vector<KeyRow<Domain>> Table{
      keyRow<Domain>("domain", "region", "", Required, nameForm(), &Domain::Region, "Region of the failure domain."),
      keyRow<Domain>("domain", "status", "", "in", statusForm(), &Domain::Status, "Whether the failure domain accepts new work."),
      keyRow<Domain>("domain", "nodes", "", Required, wholeNumber<std::uint32_t>(1, 65536), &Domain::Nodes, "Declared node slots of the failure domain, numbered from 0."),
  };
  return Table;
}

template <> std::span<const KeyRow<Rate>> intentRows() {
  static const std::vector<KeyRow<Rate>> Table{
      keyRow<Rate>("rate", "per_second", "requests/s", Required, decimalNumber(0.001, 1000000), &Rate::PerSecond, "Sustained rate that the whole fleet admits."),
      keyRow<Rate>("rate", "burst", "requests", Required, decimalNumber(1, 1000000), &Rate::Burst, "Largest burst that the whole fleet admits after an idle period."),
  };
  return Table;
}

template <> std::span<const KeyRow<Organisation>> intentRows() {
  static const std::vector<KeyRow<Organisation>> Table{
      keyRow<Organisation>("organisation", "rate", "", Required, nameForm(), &Organisation::Rate, "Name of the rate limit of the organisation."),
      keyRow<Organisation>("organisation", "weight", "", "1", wholeNumber<std::uint32_t>(1, 1000), &Organisation::Weight, "Relative share of contended slots."),
      keyRow<Organisation>("organisation", "priority", "", "0", wholeNumber<std::uint32_t>(0, 255), &Organisation::Priority, "Priority of its requests, 0 highest; takes precedence over the route's priority."),
  };
  return Table;
}

template <> std::span<const KeyRow<KeySection>> intentRows() {
  static const std::vector<KeyRow<KeySection>> Table{
      keyRow<KeySection>("key", "organisation", "", Required, nameForm(), nestedMember(&KeySection::Key, &Key::Organisation), "Organisation that the key authenticates."),
      keyRow<KeySection>("key", "sha256", "", Required, sha256Form(), nestedMember(&KeySection::Key, &Key::Sha256), "SHA-256 digest of the key; the key itself is never stored."),
      keyRow<KeySection>("key", "status", "", "active", keyStatusForm(), &KeySection::Withdrawn, "Whether the key is valid."),
  };
  return Table;
}

template <> std::span<const KeyRow<Route>> intentRows() {
  static const std::vector<KeyRow<Route>> Table{
      keyRow<Route>("route", "method", "", "*", methodForm(), &Route::Method, "Request method that the route matches."),
      keyRow<Route>("route", "host", "", "", hostForm(), &Route::Host, "Request host that the route matches, in lower case and without a port; empty for every host."),
      keyRow<Route>("route", "path", "", Required, pathForm(), &Route::Path, "Request path that the route matches, without the query."),
      keyRow<Route>("route", "service", "", "", optionalNameForm(), &Route::Service, "Service that handles the requests; required unless `split` is set."),
      keyRow<Route>("route", "split", "", "", splitForm(), &Route::Split, "Services that share the requests, each with its weight, such as `queue:90, till:10`."),
      keyRow<Route>("route", "access", "", "key", accessForm(), &Route::Access, "Whether a request must carry a key."),
      keyRow<Route>("route", "idempotent", "", "no", yesOrNo(), &Route::Idempotent, "Whether a request can safely run more than once."),
      keyRow<Route>("route", "wait", "", "no", yesOrNo(), &Route::CanWait, "Whether a request is queued instead of rejected under load."),
      keyRow<Route>("route", "large", "", "no", yesOrNo(), &Route::Large, "Whether responses are large, so that the caller's failure domain is preferred."),
      keyRow<Route>("route", "objective_ms", "ms", "0", milliseconds(0, 600000), &Route::Objective, "Latency objective, within which an answer has its full value; 0 for none."),
      keyRow<Route>("route", "max_attempts", "", "0", wholeNumber<std::uint32_t>(0, 64), &Route::MaxAttempts, "Maximum number of targets that a request is sent to; 0 for the value in the settings."),
      keyRow<Route>("route", "priority", "", "0", wholeNumber<std::uint32_t>(0, 255), &Route::Priority, "Priority of the requests, 0 highest."),
      keyRow<Route>("route", "timeout_ms", "ms", "2000", milliseconds(10, 600000), &Route::Timeout, "Maximum time from the arrival of a request to its response."),
      keyRow<Route>("route", "max_body_bytes", "bytes", "1048576", wholeNumber<std::size_t>(0, 16777216), &Route::MaxBodyBytes, "Maximum size of a request body on the route."),
  };
  return Table;
}

template <> std::span<const KeyRow<CallerLimits>> intentRows() {
  static const std::vector<KeyRow<CallerLimits>> Table{
      keyRow<CallerLimits>("limits", "max_header_bytes", "bytes", "16384", wholeNumber<std::size_t>(1024, 65536), &CallerLimits::MaxHeaderBytes, "Maximum size of a request header."),
      keyRow<CallerLimits>("limits", "max_body_bytes", "bytes", "1048576", wholeNumber<std::size_t>(0, 1073741824), &CallerLimits::MaxBodyBytes, "Maximum size of a request body."),
      keyRow<CallerLimits>("limits", "header_timeout_ms", "ms", "10000", milliseconds(100, 600000), &CallerLimits::HeaderTimeout, "Maximum time to receive a request header."),
      keyRow<CallerLimits>("limits", "idle_timeout_ms", "ms", "60000", milliseconds(100, 3600000), &CallerLimits::IdleTimeout, "Time after which an idle connection is closed."),
  };
  return Table;
}

// clang-format on

} // namespace fescuewood
