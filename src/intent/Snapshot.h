/// \file
/// One configuration version as every decision sees it: immutable and closed.
///
/// A snapshot exists only after validation, so each reference in it resolves:
/// a route's service, an organisation's rate and a key's organisation are all
/// present. Duties share one snapshot by `std::shared_ptr<const Snapshot>`,
/// the project's one deliberate use of shared ownership.

#ifndef FESCUEWOOD_INTENT_SNAPSHOT_H
#define FESCUEWOOD_INTENT_SNAPSHOT_H

#include "core/Clock.h"
#include "core/Digest.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Identifies a configuration. Ordered by the source's revision; two contents
/// under one revision are ordered by digest, so that every node keeps the same.
struct Version {
  std::uint64_t Revision = 0;
  Digest Content; ///< Over the names and bytes of the intent files.

  auto operator<=>(const Version &) const = default;
};

/// One intent file as published. The node that applies it parses it itself.
struct IntentFile {
  std::string Name; ///< Without a folder, such as "30-domain-recife.ini".
  std::string Text;

  bool operator==(const IntentFile &) const = default;
};

/// The files of one version, sorted by name, before they are parsed.
struct IntentBundle {
  std::uint64_t Revision = 0;
  std::vector<IntentFile> Files;

  /// The bundle's version; costs one digest over all files.
  Version version() const;
};

/// A group of interchangeable targets.
struct Service {
  std::string Name;
  std::uint32_t Slots = 1; ///< Requests that one warm target bears at once.
};

enum class DomainStatus : std::uint8_t { In, Out };

/// A failure domain.
struct Domain {
  std::string Name;
  std::string Region;
  DomainStatus Status = DomainStatus::In;
  std::uint32_t Nodes = 1; ///< Declared node slots, numbered from 0.
};

/// A token bucket's size, for the whole fleet together.
struct Rate {
  std::string Name;
  double PerSecond = 0;
  double Burst = 0;
};

struct Organisation {
  std::string Name;
  std::string Rate; ///< Name of a \ref fescuewood::Rate in the same snapshot.
  std::uint32_t Weight = 1; ///< Share of contended slots against others.
};

/// A key's digest. The key itself never enters the configuration.
struct Key {
  std::string Name;
  std::string Organisation;
  Digest Sha256;
};

enum class RouteAccess : std::uint8_t { Keyed, Open };

/// Which requests go to which service, and how they may be treated.
struct Route {
  std::string Name;
  std::string Method; ///< Upper case, or "*" for every method.
  std::string Path;   ///< Exact, or a prefix when it ends in "*".
  std::string Service;
  RouteAccess Access = RouteAccess::Keyed;
  bool Idempotent = false; ///< May run more than once without harm.
  bool CanWait = false;    ///< Queued rather than refused under load.
  DurationMs Timeout{2000};
  std::size_t MaxBodyBytes = 1024 * 1024;
};

/// A validated configuration.
struct Snapshot {
  Version Id;
  std::map<std::string, Service, std::less<>> Services;
  std::map<std::string, Domain, std::less<>> Domains;
  std::map<std::string, Rate, std::less<>> Rates;
  std::map<std::string, Organisation, std::less<>> Organisations;
  std::vector<Key> Keys;
  std::vector<Route> Routes;

  /// The route for a request, or null. The longest matching path wins; of two
  /// equal paths, the one with a named method.
  const Route *findRoute(std::string_view Method, std::string_view Path) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_SNAPSHOT_H
