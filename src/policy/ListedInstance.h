/// \file
/// The platform's list of the instances of the fleet.

#ifndef FESCUEWOOD_POLICY_LISTEDINSTANCE_H
#define FESCUEWOOD_POLICY_LISTEDINSTANCE_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// Maximum number of instances in one list.
inline constexpr std::size_t MaxListedInstances = 8192;

/// Maximum number of concurrent requests that a target may declare.
inline constexpr std::uint64_t MaxTargetSlots = 65535;

/// State of an instance in the platform's list, which lags behind reality.
enum class ListedState : std::uint8_t { Live, Leaving };

/// One row of the platform's list of instances.
struct ListedInstance {
  std::string Name;
  std::string Domain;
  std::string Service;
  std::uint32_t Slot = 0;
  std::string PeerAddress; ///< "IP:port".
  ListedState State = ListedState::Live;

  // Set only where the platform lists the targets themselves:
  std::string TargetId = {};      ///< Identifies one start of the target.
  std::string TargetAddress = {}; ///< "IP:port" of the target.
  std::uint32_t Slots = 0;        ///< Concurrent requests that it accepts.
  DurationMs ColdFor{0};          ///< Remaining cold time when reported.
  std::uint64_t Revision = 0;     ///< Revision at which it was reported.
  /// Set if the entry was removed while this node could not read the platform,
  /// so that its target may still be alive: the row then stands on its revision
  /// alone, and only until this time.
  std::optional<TimeMs> AssumedUntil = {};
  /// Start of the target in ms since the epoch; 0 if not reported. Another one
  /// under the same id is another start.
  std::uint64_t StartedAtMs = 0;

  bool operator==(const ListedInstance &) const = default;
};

/// One revision of the list of instances.
struct InstanceList {
  std::uint64_t Revision = 0;
  std::vector<ListedInstance> Instances;
  std::size_t SkippedRows = 0; ///< Malformed rows and duplicate names.
  /// Whether an instance missing from this list no longer exists.
  bool Complete = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_LISTEDINSTANCE_H
