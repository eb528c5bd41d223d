/// \file
/// An immutable, validated configuration version.
///
/// Every reference in a snapshot resolves: the service of a route, the rate of
/// an organisation and the organisation of a key are all present. Threads share
/// a snapshot through `std::shared_ptr<const Snapshot>`, the project's only
/// deliberate use of shared ownership.

#ifndef FESCUEWOOD_INTENT_SNAPSHOT_H
#define FESCUEWOOD_INTENT_SNAPSHOT_H

#include "core/Clock.h"
#include "core/Digest.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace fescuewood {

/// Identifies a configuration. Versions are ordered by the number that the
/// operators gave them, since a source may return to an older state of itself
/// under a later revision; then by the revision of the source, then by digest,
/// so that all nodes choose the same one of two contents with the same
/// revision.
struct Version {
  std::uint64_t Revision = 0;
  Digest Content;           ///< Digest of the intent files' names and texts.
  std::uint64_t Number = 0; ///< 0 if the source has no such number.

  bool operator==(const Version &) const = default;
  std::strong_ordering operator<=>(const Version &Other) const {
    return std::tie(Number, Revision, Content) <=>
           std::tie(Other.Number, Other.Revision, Other.Content);
  }
};

/// An intent file as published, unparsed. Each node parses it on its own.
struct IntentFile {
  std::string Name; ///< Without the folder, such as "30-domain-recife.ini".
  std::string Text;

  bool operator==(const IntentFile &) const = default;
};

/// The unparsed files of one version, sorted by name.
struct IntentBundle {
  std::uint64_t Revision = 0;
  std::vector<IntentFile> Files;
  std::uint64_t Number = 0; ///< As in \ref fescuewood::Version.

  /// Returns the version of the bundle. Computes a digest of all files.
  Version version() const;
};

/// A group of interchangeable targets.
struct Service {
  std::string Name;
  std::uint32_t Slots = 1; ///< Concurrent requests that a warm target handles.
  std::string HealthPath = {}; ///< Empty for the value in the settings.
  std::uint32_t MaxConnections =
      0;                   ///< Per target; 0 for the value in the settings.
  DurationMs SlowStart{0}; ///< Time after its start for which a target is cold.
  /// Maximum request rate to a cold target; 0 for no limit.
  double WarmupPerSecond = 0;
};

enum class DomainStatus : std::uint8_t { In, Out };

/// A failure domain.
struct Domain {
  std::string Name;
  std::string Region;
  DomainStatus Status = DomainStatus::In;
  /// Declared node slots, numbered from 0. If no domain declares any, rates are
  /// divided among the observed nodes.
  std::uint32_t Nodes = 0;
};

/// Parameters of a token bucket that the whole fleet shares.
struct Rate {
  std::string Name;
  double PerSecond = 0; ///< Sustained rate of requests.
  double Burst = 0;     ///< Capacity of the bucket, in requests.
};

struct Organisation {
  std::string Name;
  std::string Rate; ///< Name of a \ref fescuewood::Rate; empty for no limit.
  std::uint32_t Weight = 1;   ///< Relative share of contended slots.
  std::uint32_t Priority = 0; ///< 0 is highest; overrides the route's.
};

/// The digest of an API key. The key itself is never part of the configuration.
struct Key {
  std::string Name;
  std::string Organisation;
  Digest Sha256;
};

enum class RouteAccess : std::uint8_t { Keyed, Open };

/// One of the services that share the requests of a route.
struct SplitPart {
  std::string Service;
  std::uint32_t Weight = 1; ///< Relative share of the requests.

  bool operator==(const SplitPart &) const = default;
};

/// Size limits and timeouts of caller connections.
struct CallerLimits {
  std::string Name;
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxBodyBytes = 0;
  DurationMs HeaderTimeout; ///< From the first byte to the end of the header.
  DurationMs IdleTimeout;   ///< Until an idle connection is closed.
};

/// Maximum timeout of a route.
inline constexpr DurationMs MaxRouteTimeout{600 * 1000};

/// Maps requests to a service and defines how they are handled.
struct Route {
  std::string Name;
  std::string Method;           ///< Upper case, or "*" for every method.
  std::string Host;             ///< Lower case; empty for every host.
  std::string Path;             ///< Exact, or a prefix if it ends in "*".
  std::string Service;          ///< Empty if \ref Split is set.
  std::vector<SplitPart> Split; ///< Empty if \ref Service is set.
  RouteAccess Access = RouteAccess::Keyed;
  bool Idempotent = false; ///< Can safely run more than once.
  bool CanWait = false;    ///< Queued instead of rejected under load.
  bool Large = false;      ///< Responses are large.
  bool LargeBody = false;  ///< Request bodies are large.
  DurationMs Timeout{2000};
  DurationMs Objective{0}; ///< Latency objective; 0 for none.
  std::uint32_t MaxAttempts =
      0; ///< Targets per request; 0 for the settings' value.
  std::uint32_t Priority = 0; ///< 0 is highest.
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
  std::optional<CallerLimits> Limits;

  /// Returns the route with a name, or null.
  const Route *findRouteByName(std::string_view Name) const;

  /// Returns the route for a request, or null. A route for the request's host
  /// takes precedence over one for every host, then the longest matching path,
  /// then an exact path over a prefix, then a route for a single method.
  /// \param Host value of the Host header, with or without a port.
  const Route *findRoute(std::string_view Method, std::string_view Host,
                         std::string_view Path) const;
};

using SnapshotPtr = std::shared_ptr<const Snapshot>;

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_SNAPSHOT_H
