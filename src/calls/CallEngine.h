/// \file
/// The call engine of a node: runs the calls that enter at the node and the
/// calls to its target on one worker thread.
///
/// \ref CallEngine::submit starts a call and passes its answer to a hook. The
/// node's transport passes messages of \ref CallMessageKinds to
/// \ref CallEngine::handlePeer. The worker thread owns all call state; every
/// function may be called from any thread.

#ifndef FESCUEWOOD_CALLS_CALLENGINE_H
#define FESCUEWOOD_CALLS_CALLENGINE_H

#include "callers/HeaderScheme.h"
#include "calls/Call.h"
#include "calls/CallStatus.h"
#include "calls/TargetPort.h"
#include "core/Event.h"
#include "intent/Snapshot.h"
#include "nodes/PeerTransport.h"
#include "policy/CallSettings.h"
#include "policy/Instance.h"
#include "policy/ListedInstance.h"
#include "policy/MemberRecord.h"
#include "policy/Router.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Identity of a node within the mesh.
struct CallIdentity {
  std::string Name;              ///< Instance name, as in the instance list.
  std::string Domain;            ///< Failure domain.
  std::string Service;           ///< Service of the node's target.
  std::uint64_t Incarnation = 0; ///< Unique to this process; not 0.
  HeaderScheme Scheme = {};
  /// Whether the platform lists targets. If so, the node's target gets calls
  /// only while it is listed, and they carry its listed id.
  bool TargetListed = false;
  std::size_t MachineBytes = 0; ///< Memory of the machine; 0 if unknown.
};

/// Dependencies of the call engine. Hooks must not block.
struct CallHooks {
  PeerSend Send;
  TargetPort Target;
  EventHook OnEvent;
  /// Called when the state of the node's target changes; updates membership.
  std::function<void(TargetState)> OnTargetState;
  /// Returns a uniform random 64-bit number; called on the worker thread only.
  std::function<std::uint64_t()> Random;
  /// Issues the call token that is sent to the target with a request, so that
  /// the target can make calls inside the mesh for the same organisation. May
  /// be empty.
  std::function<std::string(const CallRequest &)> IssueToken;
  /// Returns the resident memory of the process, if known. May be empty.
  std::function<std::optional<std::size_t>()> ResidentMemory;
};

/// Messages that a node's transport passes to its call engine.
inline constexpr std::array CallMessageKinds = {
    PeerKind::CallStart, PeerKind::CallFetch, PeerKind::CallCancel,
    PeerKind::CallBody, PeerKind::CallStartStaged};

/// Identifies a submitted call for \ref CallEngine::cancel.
using CallHandle = std::uint64_t;

/// Runs the calls of one node on a worker thread. Thread-safe.
class CallEngine {
public:
  CallEngine(CallIdentity Identity, CallSettings Settings, CallHooks Hooks);
  ~CallEngine();
  CallEngine(const CallEngine &) = delete;
  CallEngine &operator=(const CallEngine &) = delete;

  /// Starts the worker thread.
  void start();

  /// Refuses all unanswered calls with ResultCode::ShuttingDown and joins the
  /// worker thread.
  void stop();

  /// Starts a call whose route and organisation are known. The hook is called
  /// exactly once: on the worker thread, or before submit returns if the engine
  /// cannot accept the call.
  CallHandle submit(CallRequest Request, AnswerHook OnAnswer);

  /// Ends a call whose caller has disconnected; its hook is still called once.
  void cancel(CallHandle Handle);

  /// Handles a message about a call. With \p Kind bound, it is a
  /// \ref PeerHandler.
  void handlePeer(PeerKind Kind, const PeerIdentity &From,
                  std::string_view Body, ReplyHook Reply);

  /// Applies a configuration, also to calls that are already queued.
  void setSnapshot(SnapshotPtr Snapshot);

  /// Replaces the list of instances, which includes this node's own.
  void setInstances(std::vector<Instance> Instances);

  /// Sets the platform's entry for this node's target; std::nullopt if none.
  void setOwnTarget(std::optional<ListedInstance> Listed);

  /// Sets what other nodes have read about this node's target.
  void setOwnReport(const MemberListing &Report);

  /// Announces a shutdown: the target begins no call that may last longer than
  /// \p End, unless the call is idempotent and no other target can take it.
  void setLeaving(TimeMs End);

  /// Refuses new calls on both sides that may last longer than \p End; calls in
  /// progress are completed. Callable again with another end.
  void setDraining(TimeMs End);

  /// Refuses calls that have not begun to run. To be called after
  /// \ref setDraining, so that no more of them arrive.
  void refuseWaiting();

  /// Answers all calls that entered at this node with
  /// ResultCode::ShuttingDown. Runs for other nodes continue.
  void refuseAll();

  /// Whether no call is unanswered, queued or running.
  bool idle() const;

  /// A recent copy of the status, updated periodically by the worker thread.
  CallStatus status() const;

  /// The candidate targets of a service for the next call; std::nullopt if the
  /// worker thread does not reply in time. Must not be called on that thread.
  std::optional<std::vector<RouterCandidate>>
  explain(std::string Service) const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLENGINE_H
