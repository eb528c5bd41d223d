/// \file
/// The call engine without its thread: the entry side and the target side of
/// one node.
///
/// \ref CallEngine drives it on a worker thread; tests and the policy bench
/// drive it with their own clock. A hook may report its result immediately or
/// later, but only on the thread that drives the core.

#ifndef FESCUEWOOD_CALLS_CALLCORE_H
#define FESCUEWOOD_CALLS_CALLCORE_H

#include "calls/CallContext.h"
#include "calls/EntrySide.h"
#include "calls/TargetSide.h"

#include <optional>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Calls of one node. Not thread-safe.
class CallCore {
public:
  CallCore(CallIdentity Identity, const CallSettings &Settings, CallHooks Hooks,
           Clock Time);

  void submit(CallHandle Handle, CallRequest Request, AnswerHook OnAnswer);
  void cancel(CallHandle Handle);

  /// Handles a message about a call. The reply to a malformed message is
  /// empty.
  void handlePeer(PeerKind Kind, std::string_view Body, ReplyHook Reply);

  void setSnapshot(SnapshotPtr Snapshot);
  void setInstances(const std::vector<Instance> &Instances);
  void setOwnTarget(const std::optional<ListedInstance> &Listed);
  void setOwnReport(const MemberListing &Report);
  void setLeaving(TimeMs End);
  void setDraining(TimeMs End);

  /// Refuses calls that have not begun to run.
  void refuseWaiting();

  /// Refuses all unanswered calls that entered at this node with
  /// ResultCode::ShuttingDown.
  void refuseAll();

  /// Runs due steps; must be called every few milliseconds.
  void tick();

  /// Time from which \ref tick has something to do; Never if there is nothing.
  TimeMs nextDue() const;

  bool idle() const { return Entries.idle() && Target.idle(); }

  CallStatus status();

  /// The candidate targets of a service with their ranking, for operators.
  std::vector<RouterCandidate> explain(std::string_view Service) const;

private:
  void accountForMessages();

  CallContext Context;
  TargetSide Target;
  EntrySide Entries;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLCORE_H
