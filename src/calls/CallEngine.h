/// \file
/// The calls duty of a node: both what enters here and what its target runs.
///
/// Callers hand a request to \ref CallEngine::submit and get its one answer
/// through the hook. The node's transport passes CallStart, CallFetch and
/// CallCancel messages to \ref CallEngine::handlePeer. One thread owns all call
/// state; every function here may be called from any thread.

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
#include "policy/Router.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Who this node is, and the state of its target as it starts.
struct CallIdentity {
  std::string Name;              ///< Instance name, as in the instance list.
  std::string Domain;            ///< Failure domain.
  std::string Service;           ///< Of the target beside this node.
  std::uint64_t Incarnation = 0; ///< Unique to this process; not 0.
  HeaderScheme Scheme = {};
  /// Whether the platform lists the targets: the own one then gets work only
  /// while it is listed, and under its id.
  bool TargetListed = false;
};

/// What the duty calls on others. Each hook must not block.
struct CallHooks {
  PeerSend Send;
  TargetPort Target;
  EventHook OnEvent;
  /// Called when the state of the own target changes; feeds membership.
  std::function<void(TargetState)> OnTargetState;
  /// A uniform random 64-bit number; called on the duty only.
  std::function<std::uint64_t()> Random;
  /// A call token for the headers that the target gets, so that it can call
  /// on inside the mesh for the same organisation. May be empty.
  std::function<std::string(const CallRequest &)> IssueToken;
};

/// Identifies a submitted call for \ref CallEngine::cancel.
using CallHandle = std::uint64_t;

/// Runs the calls of one node on a thread of its own.
class CallEngine {
public:
  CallEngine(CallIdentity Identity, CallSettings Settings, CallHooks Hooks);
  ~CallEngine();
  CallEngine(const CallEngine &) = delete;
  CallEngine &operator=(const CallEngine &) = delete;

  /// Starts the thread.
  void start();

  /// Answers what is left with ShuttingDown, and joins the thread.
  void stop();

  /// Takes a request whose route and organisation are known. The hook is
  /// called exactly once, on the duty or, when nothing can be taken, at once.
  CallHandle submit(CallRequest Request, AnswerHook OnAnswer);

  /// Tells that the caller has gone; its hook is still called once.
  void cancel(CallHandle Handle);

  /// Handles CallStart, CallFetch and CallCancel; is a \ref PeerHandler with
  /// the kind in front.
  void handlePeer(PeerKind Kind, const PeerIdentity &From,
                  std::string_view Body, ReplyHook Reply);

  /// Puts a configuration in force for the calls that follow.
  void setSnapshot(SnapshotPtr Snapshot);

  /// Replaces what is known of the instances, the own one included.
  void setInstances(std::vector<Instance> Instances);

  /// What the platform lists of the own target; nothing when it lists none.
  void setOwnTarget(std::optional<ListedInstance> Listed);

  /// Refuses new work of both sides; what is held is finished.
  void setDraining();

  /// Whether nothing is left: no call entered here, none queued or running.
  bool idle() const;

  /// The figures as of the last tick.
  CallStatus status() const;

  /// The targets of a service as the next call would see them, or nothing when
  /// the duty does not answer in time. Not from the duty.
  std::optional<std::vector<RouterCandidate>>
  explain(std::string Service) const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLENGINE_H
