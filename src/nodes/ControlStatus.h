/// \file
/// Status of the control duty for operators and the other duties.

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

/// Status of one instance as this node sees it.
struct MemberStatus {
  Instance Place;
  MemberHealth Health = MemberHealth::Alive;
  std::uint64_t Incarnation = 0;  ///< 0 if known only from the platform.
  bool PlatformLeaving = false;   ///< The platform lists it as leaving.
  std::optional<Version> AtLeast; ///< Its slot had this or a newer version.
  std::optional<DurationMs> SinceContact; ///< Time since its last message.
};

/// Phase of this node's configuration.
enum class ControlPhase : std::uint8_t {
  Starting,   ///< Waits for peers before accepting from the source.
  CatchingUp, ///< Was paused; waits for peers before using its view.
  Current,
};

/// "starting", "catching-up" or "current".
std::string_view controlPhaseName(ControlPhase Phase);

/// Monotonic counters of the control duty.
struct ControlCounts {
  std::uint64_t Exchanges = 0; ///< Started by this node.
  std::uint64_t ExchangeFailures = 0;
  std::uint64_t Pushes = 0;  ///< Exchanges started for urgent changes.
  std::uint64_t Repairs = 0; ///< Repairs requested.
  std::uint64_t Fetches = 0;
  std::uint64_t FetchFailures = 0;
  std::uint64_t DeltasServed = 0;
  std::uint64_t WholesServed = 0;
  std::uint64_t VersionsApplied = 0;
  std::uint64_t VersionsRefused = 0;
  std::uint64_t Suspicions = 0;  ///< Raised by this node.
  std::uint64_t Refutations = 0; ///< Suspicions of this node refuted.
  std::uint64_t Pauses = 0;
};

/// A refused version and the reason, which was also reported as an event.
struct RefusedVersion {
  Version Id;
  std::string Reason;
};

/// Consistent snapshot of the control duty.
struct ControlStatus {
  ControlPhase Phase = ControlPhase::Starting;
  std::optional<Version> InForce;
  std::optional<RefusedVersion> LastRefused;
  bool Reader = false; ///< Whether this node reads the platform now.
  std::vector<std::string> Readers;  ///< Of the local domain, as seen here.
  std::vector<MemberStatus> Members; ///< Sorted by name, including this node.
  ControlCounts Counts;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLSTATUS_H
