#include "intent/IntentSchema.h"

#include "ini/Forms.h"

#include <algorithm>
#include <vector>

namespace fescuewood {

namespace {

constexpr std::size_t MaxMethodBytes = 16;
constexpr std::size_t MaxRoutePathBytes = 512;

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

ValueForm<bool> withdrawnForm() {
  return oneOf<bool>({{"active", false}, {"withdrawn", true}});
}

constexpr auto Required = std::nullopt;

} // namespace

// One line per key: section, name, unit, default, form, member, meaning. A key
// without a default must be given.
// clang-format off

template <> std::span<const KeyRow<Service>> intentRows() {
  static const std::vector<KeyRow<Service>> Table{
      keyRow<Service>("service", "slots", "requests", "1", wholeNumber<std::uint32_t>(1, 65535), &Service::Slots, "Requests that one warm target of the service bears at once."),
  };
  return Table;
}

template <> std::span<const KeyRow<Domain>> intentRows() {
  static const std::vector<KeyRow<Domain>> Table{
      keyRow<Domain>("domain", "region", "", Required, nameForm(), &Domain::Region, "Region that the failure domain lies in."),
      keyRow<Domain>("domain", "status", "", "in", statusForm(), &Domain::Status, "Whether the failure domain takes new work."),
      keyRow<Domain>("domain", "nodes", "", Required, wholeNumber<std::uint32_t>(1, 65536), &Domain::Nodes, "Declared node slots of the failure domain, numbered from 0."),
  };
  return Table;
}

template <> std::span<const KeyRow<Rate>> intentRows() {
  static const std::vector<KeyRow<Rate>> Table{
      keyRow<Rate>("rate", "per_second", "requests/s", Required, decimalNumber(0.001, 1000000), &Rate::PerSecond, "Requests a second that the whole fleet admits over time."),
      keyRow<Rate>("rate", "burst", "requests", Required, decimalNumber(1, 1000000), &Rate::Burst, "Requests that the whole fleet admits at once after a pause."),
  };
  return Table;
}

template <> std::span<const KeyRow<Organisation>> intentRows() {
  static const std::vector<KeyRow<Organisation>> Table{
      keyRow<Organisation>("organisation", "rate", "", Required, nameForm(), &Organisation::Rate, "Name of the rate that the organisation is held to."),
      keyRow<Organisation>("organisation", "weight", "", "1", wholeNumber<std::uint32_t>(1, 1000), &Organisation::Weight, "Share of contended slots against other organisations."),
  };
  return Table;
}

template <> std::span<const KeyRow<WrittenKey>> intentRows() {
  static const std::vector<KeyRow<WrittenKey>> Table{
      keyRow<WrittenKey>("key", "organisation", "", Required, nameForm(), within(&WrittenKey::Key, &Key::Organisation), "Organisation that the key stands for."),
      keyRow<WrittenKey>("key", "sha256", "", Required, sha256Form(), within(&WrittenKey::Key, &Key::Sha256), "SHA-256 digest of the key; the key itself is never written."),
      keyRow<WrittenKey>("key", "status", "", "active", withdrawnForm(), &WrittenKey::Withdrawn, "Whether the key is still good."),
  };
  return Table;
}

template <> std::span<const KeyRow<Route>> intentRows() {
  static const std::vector<KeyRow<Route>> Table{
      keyRow<Route>("route", "method", "", "*", methodForm(), &Route::Method, "Method of the requests that the route takes."),
      keyRow<Route>("route", "path", "", Required, pathForm(), &Route::Path, "Path of the requests that the route takes, without the query."),
      keyRow<Route>("route", "service", "", Required, nameForm(), &Route::Service, "Service that the requests go to."),
      keyRow<Route>("route", "access", "", "key", accessForm(), &Route::Access, "Whether a request must carry a key."),
      keyRow<Route>("route", "idempotent", "", "no", yesOrNo(), &Route::Idempotent, "Whether a request may run more than once without harm."),
      keyRow<Route>("route", "wait", "", "no", yesOrNo(), &Route::CanWait, "Whether a request is queued rather than refused under load."),
      keyRow<Route>("route", "timeout_ms", "ms", "2000", milliseconds(10, 600000), &Route::Timeout, "Longest time from a request's arrival to its answer."),
      keyRow<Route>("route", "max_body_bytes", "bytes", "1048576", wholeNumber<std::size_t>(0, 16777216), &Route::MaxBodyBytes, "Largest request body that the route takes."),
  };
  return Table;
}

// clang-format on

} // namespace fescuewood
