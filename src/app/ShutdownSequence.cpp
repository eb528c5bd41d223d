#include "app/ShutdownSequence.h"

#include <algorithm>

namespace fescuewood {

namespace {

constexpr DurationMs PollInterval{20};

/// Time for the leave message to reach other nodes.
constexpr DurationMs LeavePropagation{400};

} // namespace

bool ShutdownSequence::run(const ShutdownPlan &Plan) {
  announce(Plan);
  Hooks.SetDraining(Plan.latestDeadline());
  const bool Drained = waitUntil(Plan.DrainUntil, [this] { return isQuiet(); });
  if (!Drained && !Hooks.IsIdle())
    Hooks.OnExtended();
  // Nothing begins from now on, but a call may have begun meanwhile.
  Hooks.SetDraining(Time.now());
  Hooks.RefuseWaiting();
  const bool Completed = waitUntil(Plan.CutAt, Hooks.IsIdle);
  if (!Completed)
    Hooks.CutEntered();
  // A run for another node may still end while the last answers are written.
  const TimeMs WrittenBy = std::min(Time.now() + FinalAnswerTime, Plan.ExitBy);
  waitUntil(WrittenBy, [this] { return isQuiet(); });
  return Completed && Hooks.PendingRequests() == 0;
}

void ShutdownSequence::announce(const ShutdownPlan &Plan) {
  Hooks.SetLeaving(Plan.latestDeadline());
  // Load balancers must first notice that this node is no longer ready. Until
  // then other nodes keep sending work to its target, which may go on running
  // without this node.
  sleepUntil(Plan.AcceptUntil);
  Hooks.LeaveMesh();
  Hooks.StopAccepting();
  sleepUntil(std::min(Time.now() + LeavePropagation, Plan.DrainUntil));
}

bool ShutdownSequence::isQuiet() const {
  return Hooks.OpenConnections() == 0 && Hooks.IsIdle() &&
         Hooks.QueuedPeerBytes() == 0;
}

/// Returns false if \p Deadline passes first.
bool ShutdownSequence::waitUntil(TimeMs Deadline,
                                 const std::function<bool()> &Done) {
  while (!Done()) {
    if (Time.now() >= Deadline)
      return false;
    Hooks.Sleep(PollInterval);
  }
  return true;
}

void ShutdownSequence::sleepUntil(TimeMs End) {
  const DurationMs Left = End - Time.now();
  if (Left > DurationMs(0))
    Hooks.Sleep(Left);
}

} // namespace fescuewood
