/// \file
/// The calls duty without its thread: both sides of one node's calls.
///
/// \ref CallEngine drives it on a duty; tests and the policy bench drive it
/// with their own clock. Every hook may call back at once or later, as long as
/// it is on the thread that drives the core.

#ifndef FESCUEWOOD_CALLS_CALLCORE_H
#define FESCUEWOOD_CALLS_CALLCORE_H

#include "calls/CallContext.h"
#include "calls/EntrySide.h"
#include "calls/TargetSide.h"

#include <optional>
#include <string_view>
#include <vector>

namespace fescuewood {

/// The calls of one node. Not thread-safe.
class CallCore {
public:
  CallCore(CallIdentity Identity, const CallSettings &Settings, CallHooks Hooks,
           Clock Time);

  void submit(CallHandle Handle, CallRequest Request, AnswerHook OnAnswer);
  void cancel(CallHandle Handle);

  /// Handles a message of kind CallStart, CallFetch or CallCancel. A malformed
  /// one gets an empty reply.
  void handlePeer(PeerKind Kind, std::string_view Body, ReplyHook Reply);

  void setSnapshot(SnapshotPtr Snapshot);
  void setInstances(const std::vector<Instance> &Instances);
  void setOwnTarget(const std::optional<ListedInstance> &Listed);
  void setDraining();

  /// Answers every call that entered here and is not answered yet.
  void abandonAll();

  /// Does what is due; to be called every few milliseconds.
  void tick();

  bool idle() const { return Entries.idle() && Target.idle(); }

  CallStatus status();

  /// The candidates for a service and why, for operators.
  std::vector<RouterCandidate> explain(std::string_view Service) const;

private:
  CallContext Context;
  TargetSide Target;
  EntrySide Entries;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLCORE_H
