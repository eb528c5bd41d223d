/// \file
/// Injects the planned faults into a mesh and records what they disturb.

#ifndef FESCUEWOOD_SOAK_INJECTOR_H
#define FESCUEWOOD_SOAK_INJECTOR_H

#include "soak/FaultPlan.h"
#include "soak/History.h"
#include "soak/Mesh.h"
#include "standins/Http.h"

#include <set>
#include <vector>

namespace fescuewood::soak {

/// A fault as it was injected.
struct InjectedFault {
  PlannedFault Plan;
  std::int64_t FromMs = 0;
  std::int64_t ToMs = 0;
};

/// Records that a node's process has ended although nobody stopped it; returns
/// whether it has.
bool noteOwnEnd(MeshNode &N, std::size_t Index, History &Seen);

class Injector {
public:
  Injector(asio::io_context &Context, const Scenario &Plan, Mesh &Processes,
           History &Seen)
      : Context(Context), Plan(Plan), Processes(Processes), Seen(Seen) {}

  /// Injects the faults at their times; returns when all have ended.
  asio::awaitable<void> inject(const std::vector<PlannedFault> &Faults);

  const std::vector<InjectedFault> &injected() const { return Injected; }

private:
  asio::awaitable<void> apply(PlannedFault Fault);
  /// \p Number is the fault's index in the history.
  asio::awaitable<void> run(const PlannedFault &Fault, std::size_t Number);
  asio::awaitable<void> restartNode(const PlannedFault &Fault,
                                    std::size_t Number);
  asio::awaitable<void> terminateNode(std::size_t Index, std::size_t Number);
  asio::awaitable<void> crashTarget(const PlannedFault &Fault);
  asio::awaitable<void> leaveTarget(const PlannedFault &Fault);
  asio::awaitable<void> misbehave(const PlannedFault &Fault,
                                  std::string_view Mode);
  asio::awaitable<void> disturbStore(const PlannedFault &Fault,
                                     const std::string &Treatment);
  void changeConfiguration();
  asio::awaitable<void> removeLater(std::string TargetId);

  asio::io_context &Context;
  const Scenario &Plan;
  Mesh &Processes;
  History &Seen;
  std::vector<InjectedFault> Injected;
  std::size_t Active = 0;
  std::set<FaultPart> Occupied;
};

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_INJECTOR_H
