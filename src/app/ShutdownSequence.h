/// \file
/// The order of steps in a graceful shutdown of a node.
///
/// 1. The readiness check fails, while connections are still accepted.
/// 2. The node leaves the mesh and its listener closes.
/// 3. Calls in progress and new short ones are completed, idle connections
///    close.
/// 4. From the drain timeout on, only calls that are at work are completed.
///    Each ends at its deadline at the latest.
/// 5. Calls that still run just before the process is killed are cut and
///    answered.
///
/// The times come from policy/ShutdownPlan.h.

#ifndef FESCUEWOOD_APP_SHUTDOWNSEQUENCE_H
#define FESCUEWOOD_APP_SHUTDOWNSEQUENCE_H

#include "core/Clock.h"
#include "policy/ShutdownPlan.h"

#include <cstddef>
#include <functional>
#include <utility>

namespace fescuewood {

/// What a shutdown does with the components of a node. All are required.
struct ShutdownHooks {
  /// Begins on the target no call that may last longer and can run elsewhere.
  std::function<void(TimeMs End)> SetLeaving;
  /// Accepts no call, on either side, that may last longer.
  std::function<void(TimeMs End)> SetDraining;
  /// Refuses calls that have not begun to run, so that they run elsewhere.
  std::function<void()> RefuseWaiting;
  /// Answers all calls that entered at this node with an unknown outcome.
  std::function<void()> CutEntered;
  std::function<void()> LeaveMesh;
  std::function<void()> StopAccepting;
  /// Whether no call is unanswered, queued or running.
  std::function<bool()> IsIdle;
  /// Number of requests whose answers are not completely written.
  std::function<std::size_t()> PendingRequests;
  /// The same, plus open connections on which a request may be in transit.
  std::function<std::size_t()> OpenConnections;
  /// Bytes that wait to be written to other nodes.
  std::function<std::size_t()> QueuedPeerBytes;
  std::function<void(DurationMs)> Sleep;
  /// Reports that calls at work outlast the drain timeout.
  std::function<void()> OnExtended;
};

/// Runs a shutdown and blocks until it is complete.
class ShutdownSequence {
public:
  ShutdownSequence(ShutdownHooks Hooks, Clock Time)
      : Hooks(std::move(Hooks)), Time(std::move(Time)) {}

  /// Returns whether every call was completed and every answer written. The
  /// components can then be stopped.
  bool run(const ShutdownPlan &Plan);

private:
  void announce(const ShutdownPlan &Plan);
  bool isQuiet() const;
  bool waitUntil(TimeMs Deadline, const std::function<bool()> &Done);
  void sleepUntil(TimeMs End);

  const ShutdownHooks Hooks;
  const Clock Time;
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_SHUTDOWNSEQUENCE_H
