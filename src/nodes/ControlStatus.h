/// \file
/// What the control duty shows to operators and to the other duties.

#ifndef FESCUEWOOD_NODES_CONTROLSTATUS_H
#define FESCUEWOOD_NODES_CONTROLSTATUS_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/MemberRecord.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// One instance as this node sees it.
struct MemberStatus {
  Instance Place;
  MemberHealth Health = MemberHealth::Alive;
  std::uint64_t Incarnation = 0;  ///< 0 when known from the platform only.
  bool PlatformLeaving = false;   ///< The platform says that it leaves.
  std::optional<Version> AtLeast; ///< Its slot had this or a newer one.
  std::optional<DurationMs> SinceContact; ///< Since it spoke to this very node.
};

/// How far this node has come with its configuration.
enum class ControlPhase : std::uint8_t {
  Starting,   ///< Asks its peers before it accepts from the source.
  CatchingUp, ///< Was paused; asks its peers before it acts on its view.
  Current,
};

/// "starting", "catching-up" or "current".
std::string_view controlPhaseName(ControlPhase Phase);

/// Monotonic counters of the control duty.
struct ControlCounts {
  std::uint64_t Exchanges = 0; ///< Started by this node.
  std::uint64_t ExchangeFailures = 0;
  std::uint64_t Pushes = 0;  ///< Exchanges made at once for news.
  std::uint64_t Repairs = 0; ///< Member tables compared by bucket.
  std::uint64_t Fetches = 0;
  std::uint64_t FetchFailures = 0;
  std::uint64_t DeltasServed = 0;
  std::uint64_t WholesServed = 0;
  std::uint64_t VersionsApplied = 0;
  std::uint64_t VersionsRefused = 0;
  std::uint64_t Suspicions = 0;  ///< Raised by this node.
  std::uint64_t Refutations = 0; ///< Of suspicions of this node.
  std::uint64_t Pauses = 0;
};

/// A refused version and why; the reasons were reported as events.
struct RefusedVersion {
  Version Id;
  std::string Reason;
};

/// A consistent view of one moment.
struct ControlStatus {
  ControlPhase Phase = ControlPhase::Starting;
  std::optional<Version> InForce;
  std::optional<RefusedVersion> LastRefused;
  bool Reader = false; ///< Whether this node reads the platform now.
  std::vector<std::string> Readers;  ///< Of the own domain, as seen here.
  std::vector<MemberStatus> Members; ///< By name, this node included.
  ControlCounts Counts;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLSTATUS_H
