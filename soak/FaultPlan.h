/// \file
/// The faults of a soak, drawn from a seed before anything starts.

#ifndef FESCUEWOOD_SOAK_FAULTPLAN_H
#define FESCUEWOOD_SOAK_FAULTPLAN_H

#include "soak/Scenario.h"

#include <cstdint>
#include <vector>

namespace fescuewood::soak {

struct PlannedFault {
  FaultKind Kind = FaultKind::NodeTerm;
  std::size_t Node = 0; ///< Node, or node beside the target.
  DurationMs Start;     ///< After the first request.
  DurationMs Duration;

  bool operator==(const PlannedFault &) const = default;
};

/// What a fault occupies: a part of the mesh, and which node's it is.
struct FaultPart {
  enum class Kind { Node, Target, Store, Configuration } Type = Kind::Node;
  std::size_t Node = 0; ///< 0 for the store and the configuration.

  auto operator<=>(const FaultPart &) const = default;
};
FaultPart partOf(const PlannedFault &Fault);

/// Returns the faults in the order of their start. The same scenario and seed
/// give the same faults. Faults of different parts overlap; one process, one
/// target's behaviour, the store and the configuration have one at a time.
std::vector<PlannedFault> planFaults(const Scenario &Plan, std::uint64_t Seed);

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_FAULTPLAN_H
