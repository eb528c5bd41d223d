/// \file
/// What a node knows of another instance of the fleet.

#ifndef FESCUEWOOD_POLICY_INSTANCE_H
#define FESCUEWOOD_POLICY_INSTANCE_H

#include <cstdint>
#include <string>
#include <string_view>

namespace fescuewood {

/// What the node beside a target says of that target. Numbers are on the wire.
enum class TargetState : std::uint8_t {
  Cold = 0,     ///< Freshly started; its limit is still growing.
  Ready = 1,    ///< Bears its declared slots.
  Draining = 2, ///< Leaves; takes no new work.
  Down = 3,     ///< Does not answer its node.
};

/// "cold", "ready", "draining" or "down".
std::string_view targetStateName(TargetState State);

/// The address and place of one instance: a target and the node beside it.
struct Instance {
  std::string Name;        ///< Unique in the fleet, such as "recife/archive-2".
  std::string Domain;      ///< Failure domain.
  std::string Service;     ///< The service that its target belongs to.
  std::uint32_t Slot = 0;  ///< Declared node slot in the domain, from 0.
  std::string PeerAddress; ///< "IP:port" where its node hears other nodes.
  TargetState State = TargetState::Cold;

  bool operator==(const Instance &) const = default;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_INSTANCE_H
