/// \file
/// What the platform says of the fleet's instances.

#ifndef FESCUEWOOD_POLICY_LISTEDINSTANCE_H
#define FESCUEWOOD_POLICY_LISTEDINSTANCE_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuewood {

/// Most instances that one list may name.
inline constexpr std::size_t MaxListedInstances = 8192;

/// Most requests that a target may say it bears at once.
inline constexpr std::uint64_t MaxTargetSlots = 65535;

/// What the platform says of an instance; it lags.
enum class ListedState : std::uint8_t { Live, Leaving };

/// One row of the platform's list of instances.
struct ListedInstance {
  std::string Name;
  std::string Domain;
  std::string Service;
  std::uint32_t Slot = 0;
  std::string PeerAddress; ///< "IP:port".
  ListedState State = ListedState::Live;

  // Only where the platform lists the targets themselves:
  std::string TargetId = {};      ///< Of this start of the target.
  std::string TargetAddress = {}; ///< "IP:port" of the target.
  std::uint32_t Slots = 0;        ///< Requests that the target bears at once.
  DurationMs ColdFor{0};      ///< How much longer it is cold, when it said so.
  std::uint64_t Revision = 0; ///< At which the target said so.

  bool operator==(const ListedInstance &) const = default;
};

/// The platform's list of instances under its own revision.
struct InstanceList {
  std::uint64_t Revision = 0;
  std::vector<ListedInstance> Instances;
  std::size_t SkippedRows = 0; ///< Malformed rows, and repeated names.
  /// Whether an instance that was listed before and is not any more is gone.
  bool Complete = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_LISTEDINSTANCE_H
