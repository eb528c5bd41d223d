/// \file
/// Identity, address and state of an instance of the fleet.

#ifndef FESCUEWOOD_POLICY_INSTANCE_H
#define FESCUEWOOD_POLICY_INSTANCE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuewood {

/// State of a target as reported by the node beside it. The values are sent on
/// the wire.
enum class TargetState : std::uint8_t {
  Cold = 0,     ///< Just started; its limit is still growing.
  Ready = 1,    ///< Accepts as many requests as it has slots.
  Draining = 2, ///< Shutting down; takes no new work.
  Down = 3,     ///< Does not answer its node.
};

/// "cold", "ready", "draining" or "down".
std::string_view targetStateName(TargetState State);

/// One instance: a target and the node beside it.
struct Instance {
  std::string Name;    ///< Unique in the fleet, for example "recife/archive-2".
  std::string Domain;  ///< Failure domain.
  std::string Service; ///< The service that its target belongs to.
  std::uint32_t Slot = 0;  ///< Declared node slot in the domain, from 0.
  std::string PeerAddress; ///< "IP:port" where its node serves other nodes.
  TargetState State = TargetState::Cold;
  /// Whether State is Draining only because the platform lists the target as
  /// leaving or no longer lists it: the node itself works on, and may be behind
  /// a partition.
  bool NodeStays = false;

  bool operator==(const Instance &) const = default;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_INSTANCE_H
