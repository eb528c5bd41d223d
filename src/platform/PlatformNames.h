/// \file
/// Names of the platform's interface: paths, keys, JSON fields and values.
///
/// Only this package uses these names; `scripts/check-names` checks that. The
/// constants are named in the project's own terms.

#ifndef FESCUEWOOD_PLATFORM_PLATFORMNAMES_H
#define FESCUEWOOD_PLATFORM_PLATFORMNAMES_H

#include <string_view>

namespace fescuewood::platform {

// HTTP paths.
inline constexpr std::string_view ReadyPath = "/fescuewood/ready";
inline constexpr std::string_view RangePath = "/fescuewood/kv-range";
inline constexpr std::string_view WatchPath = "/fescuewood/kv-watch";

// Header fields of the store's answers.
/// Rises by one each time the store comes back from an older copy.
inline constexpr std::string_view StoreEpochField = "Store-Era";

// Keys and key prefixes in the store.
inline constexpr std::string_view OperatorPrefix = "op/";
inline constexpr std::string_view ConfigurationKey = "op/config";
inline constexpr std::string_view DomainOutPrefix = "op/evacuate/";
inline constexpr std::string_view TargetPrefix = "servers/";

// JSON fields of the store's answers.
inline constexpr std::string_view Items = "items";
inline constexpr std::string_view Events = "events";
inline constexpr std::string_view HasMore = "has_more";
inline constexpr std::string_view StoreRevision = "at";
inline constexpr std::string_view ItemKey = "key";
inline constexpr std::string_view ItemValue = "value";
inline constexpr std::string_view ItemRevision = "revision";
inline constexpr std::string_view ItemRemoved = "removed";

// JSON fields and values of a target's entry.
inline constexpr std::string_view TargetService = "service";
inline constexpr std::string_view TargetAddress = "address";
inline constexpr std::string_view TargetDomain = "zone";
inline constexpr std::string_view TargetSlots = "slots";
inline constexpr std::string_view TargetState = "state";
inline constexpr std::string_view StateReady = "ready";
inline constexpr std::string_view StateLeaving = "draining";
inline constexpr std::string_view TargetSequence = "sequence";
/// Start of the target, in Unix milliseconds.
inline constexpr std::string_view TargetStartedAt = "born";
/// Remaining slow start of the target, in seconds.
inline constexpr std::string_view TargetColdFor = "warmup_left_s";

// JSON fields and values of the configuration document.
/// Number of the configuration, greater in each one.
inline constexpr std::string_view ConfigurationNumber = "version";
inline constexpr std::string_view Routes = "routes";
inline constexpr std::string_view Name = "name";
inline constexpr std::string_view RouteHost = "host";
inline constexpr std::string_view RoutePrefix = "prefix";
inline constexpr std::string_view RouteService = "service";
inline constexpr std::string_view RouteSplit = "traffic_split";
inline constexpr std::string_view SplitWeight = "weight";
inline constexpr std::string_view RouteKind = "kind";
inline constexpr std::string_view KindIdempotent = "idempotent";
inline constexpr std::string_view KindDownload = "download";
inline constexpr std::string_view KindUpload = "upload";
inline constexpr std::string_view RouteTimeout = "timeout_s";
inline constexpr std::string_view RouteObjective = "target_latency_s";
inline constexpr std::string_view RouteAttempts = "max_attempts";
inline constexpr std::string_view Priority = "priority";
inline constexpr std::string_view RouteOpen = "public";
inline constexpr std::string_view Services = "services";
inline constexpr std::string_view HealthPath = "health_path";
inline constexpr std::string_view MaxConnections = "max_connections";
inline constexpr std::string_view SlowStart = "slow_start_s";
inline constexpr std::string_view WarmupRate = "warmup_per_s";
inline constexpr std::string_view Organisations = "tenants";
inline constexpr std::string_view Keys = "api_keys";
inline constexpr std::string_view RatePerSecond = "rate_per_s";
inline constexpr std::string_view RateBurst = "burst";
inline constexpr std::string_view Limits = "limits";
inline constexpr std::string_view MaxHeaderBytes = "max_header_bytes";
inline constexpr std::string_view MaxBodyBytes = "max_body_bytes";
inline constexpr std::string_view HeaderTimeout = "header_timeout_s";
inline constexpr std::string_view IdleTimeout = "idle_timeout_s";

} // namespace fescuewood::platform

#endif // FESCUEWOOD_PLATFORM_PLATFORMNAMES_H
