/// \file
/// Admission, execution and outcomes of the calls that run on a node's target.
///
/// Every request to the target, including one that entered at this node, passes
/// through \ref TargetSide::start, waits in a fair queue and runs when the
/// admission limit allows. Outcomes are kept in a ledger, from which
/// \ref TargetSide::fetch replies.

#ifndef FESCUEWOOD_CALLS_TARGETSIDE_H
#define FESCUEWOOD_CALLS_TARGETSIDE_H

#include "calls/BodyReceiver.h"
#include "calls/CallContext.h"
#include "calls/PacedReplies.h"
#include "calls/TargetPort.h"
#include "nodes/CallMessages.h"
#include "policy/AdmissionLimit.h"
#include "policy/AnnouncedState.h"
#include "policy/AnswerMemory.h"
#include "policy/CallLedger.h"
#include "policy/CallQueue.h"
#include "policy/CrashEvidence.h"
#include "policy/ObjectiveQueue.h"
#include "policy/TargetListing.h"
#include "policy/WarmupLimit.h"
#include "policy/WithdrawnKeys.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

namespace fescuewood {

/// Time for which an abandoned run still counts against the admission limit,
/// until the target has noticed the closed connection.
inline constexpr DurationMs AbandonedRunHold{100};

/// What the target side asks of the entry side of the same node.
struct EntryQueries {
  /// Bytes of answers that the entry side holds in pieces.
  std::function<std::size_t()> JoiningBytes;
  /// Whether a target beside another node can take calls to a service.
  std::function<bool(std::string_view Service)> HasOtherTarget;
};

/// Calls of one target. Not thread-safe; used only inside CallContext::run.
class TargetSide {
public:
  TargetSide(CallContext &Context, EntryQueries Entries);

  /// Starts a call. \p OnReply is called when the call has ended or is refused;
  /// for a call id that is already in the ledger, immediately with its state.
  void start(CallStart Start, const CallReplyHook &OnReply);

  /// As \ref start, for a call that entered at another node. The reply waits
  /// for its turn on the link if it carries a large piece.
  void startForPeer(CallStart Start, const ReplyHook &OnReply);

  /// Replies to a fetch of another node, see \ref startForPeer.
  void fetchForPeer(const CallFetch &Fetch, const ReplyHook &OnReply) {
    Replies.reply(Fetch, OnReply);
  }

  /// Accounts for a message that this node sends to another one.
  void onSentToPeer(std::size_t Bytes) {
    if (Replies.limited())
      Replies.onSent(Bytes);
  }
  /// Handles a piece of a body that is staged before its call starts.
  void receiveBody(const CallBody &Message, ReplyHook OnReply) {
    Bodies.receive(Message, std::move(OnReply));
  }

  /// Accounts for a message or a reply of another node, except for bodies.
  void onReceivedFromPeer(std::size_t Bytes) { Bodies.onReceived(Bytes); }

  /// Returns the state of a call; fences its id if the message requests it.
  CallReply fetch(const CallFetch &Fetch);

  /// Ends a call that has no waiting caller and fences its id. The sender does
  /// not ask for the answer any more, so none is kept.
  CallReply cancel(const CallCancel &Cancel);

  /// Applies the configuration in the context, also to queued calls.
  void onConfig();

  /// Applies the platform's entry for the target; std::nullopt if it has none.
  void onListed(const std::optional<ListedInstance> &Entry);

  /// Applies what other nodes have read about the target.
  void onReport(const MemberListing &Report);

  /// Refuses queued calls that may outlast the shutdown and can run elsewhere.
  void onLeaving();

  /// Reports the Draining state; calls that may outlast the drain are refused
  /// from now on.
  void onDraining();

  /// Refuses all queued calls, which other targets may take.
  void refuseWaiting() { refuseQueued(ResultCode::TargetDraining); }

  /// Expires queued calls and ledger entries, and probes a target that is down.
  void tick();

  /// Time from which \ref tick has something to do for a call; Never if there
  /// is nothing.
  TimeMs nextDue() const;

  /// Whether no call is queued or running.
  bool idle() const {
    return HeldCalls.empty() && InFlight == 0 && Replies.idle() &&
           Bodies.idle();
  }

  /// Load of the target, as sent with every reply.
  LoadReport load();

  /// Sets the target-side gauges in \p Status.
  void fill(CallStatus &Status);

private:
  struct HeldCall {
    CallRequest Request;
    CallReplyHook OnReply;
    TimeMs ArrivedAt;
    TimeMs StartedAt;
    TimeMs Deadline;
    TimeMs LatestTimelyStart = Never; ///< A later one is after its objective.
    bool Running = false;
    bool Cancelled = false;
    std::uint64_t Epoch = 0;     ///< Target epoch in which its run started.
    std::string TargetId;        ///< That its run was meant for.
    std::size_t AnswerBytes = 0; ///< Reserved for its answer while it runs.
    bool FromPeer = false;       ///< It entered at another node.
    /// Expected size of a large answer that the link will carry, or 0.
    std::size_t LinkBytes = 0;
    std::size_t BodyBytes = 0; ///< Reserved for its body by BodyReceiver.
    DurationMs StagedFor{0};   ///< Time that its body took to arrive.
    /// Reason for a broken run, Ok otherwise. A broken run is answered once it
    /// is known whether the target crashed.
    ResultCode BrokenReason = ResultCode::Ok;
  };

  /// The state of a call, without a piece of its answer.
  CallReply stateReply(const CallId &Id);
  CallReply ledgerReply(const CallId &Id, std::uint64_t Offset,
                        std::uint64_t MaxPieceBytes = 0);
  CallReply baseReply();
  DurationMs retryAfter(ResultCode Reason);
  ResultCode refusalOnArrival(const HeldCall &Call);
  ResultCode refusalByDependency(const CallRequest &Request);
  void reportDependents();
  ResultCode refusalOnStart(const HeldCall &Call);
  void accept(CallStart Start, const CallReplyHook &OnReply, bool FromPeer);
  std::size_t linkBytes(const HeldCall &Call) const;
  DurationMs linkDelay() const;
  ResultCode refusalByLink(const HeldCall &Call, std::size_t Others);
  TimeMs softDeadline(const CallRequest &Request, DurationMs Objective,
                      DurationMs Cost) const;
  BodyReceiverHooks bodyHooks();
  BodyRefusal refusalOfBody(const CallRequest &Request);
  QueuedCall queueEntry(const CallRequest &Request, TimeMs Deadline) const;
  void enqueue(const CallId &Id);
  void startQueued();
  std::uint32_t concurrencyLimit();
  void run(const CallId &Id, HeldCall &Call);
  CallRequest targetRequest(HeldCall &Call) const;
  void onResult(const CallId &Id, RunResult Result);
  void onAnswer(const CallId &Id, CallAnswer Answer);
  TimeMs answerExpiry(const HeldCall &Call) const;
  void onBroken(const CallId &Id, HeldCall &Call, ResultCode Reason);
  void resolveBrokenRuns(CrashVerdict Verdict);
  void recordCrashedRun(const HeldCall &Call);
  bool hasOtherRuns() const;
  void reportRun(const HeldCall &Call, const RunResult &Result,
                 TimeMs Now) const;
  void recordResult(const HeldCall &Call, const RunResult &Result, TimeMs Now);
  void finish(const CallId &Id, const CallReply &Reply);
  void refuse(const CallId &Id, ResultCode Reason);
  std::unique_ptr<CallQueue> makeQueue();
  void onQueueRefusal(const QueueRefusal &Refusal);
  void reportDisplaced(const QueueRefusal &Refusal) const;
  /// Refuses the queued calls that \p Matches; all of them if it is empty.
  void refuseQueued(ResultCode Reason,
                    const std::function<bool(const HeldCall &)> &Matches = {});
  bool mayBeCut(const HeldCall &Call) const;
  void onMistaken();
  void onUnreached(TimeMs SentAt);
  bool isAlive(TimeMs Since) const;
  void resumeAfterAbort();
  void onTargetDown();
  void probe();
  void onProbe(const ProbeResult &Result);
  void askForNotice();
  void probeForNotice(int ProbesLeft);
  bool announcesState() const;
  void onNotice(const TargetNotice &Notice, TimeMs SentAt);
  void onProbeNotice(const ProbeResult &Result, TimeMs SentAt);
  bool exceedsNamedRate(const CallRequest &Request) const;
  ServiceRate boundByNamedRate(const ServiceRate &BySlots) const;
  ResultCode refusalByListing() const;
  void reportListing() const;
  void applyListing();
  void setColdFor(DurationMs Span);
  void releaseAbandoned(TimeMs Now);
  void updateState();
  TargetState ownState();
  ServiceRate serviceRate();
  bool isOwnDomainOut() const;

  CallContext &Context;
  const EntryQueries Entries;
  AnswerMemory Memory;
  CallLedger Ledger;
  PacedReplies Replies;
  std::size_t AcceptedBytes = 0;  ///< LinkBytes of all held calls.
  std::size_t ProducingBytes = 0; ///< LinkBytes of the running ones.
  BodyReceiver Bodies;
  std::unique_ptr<CallQueue> Queue;
  AdmissionLimit Limit;
  WithdrawnKeys Withdrawn;
  std::map<CallId, HeldCall> HeldCalls;
  std::deque<TimeMs> AbandonedRuns; ///< Release time of each abandoned run.
  std::uint32_t InFlight = 0;       ///< Runs, including abandoned ones.
  CrashEvidence Evidence;
  TimeMs AnsweredAt{0}; ///< Last answer of the target in this epoch.
  TargetListing Listing;
  std::string NamedTarget; ///< Id of the target that was last listed.
  WarmupLimit Warmup;
  DurationMs SlowStart{0};
  std::uint64_t Epoch = 0; ///< Incremented for each detected crash.
  bool Suspended = false;  ///< No run starts until a probe succeeds.
  bool Down = false;
  /// Until then the target counts as unlisted: another one has its address.
  TimeMs MistakenUntil;
  bool OwnDomainOut = false; ///< As of the last applied configuration.
  AnnouncedState Announced;
  bool AwaitingNotice = false; ///< No run starts until the target has answered.
  bool Probing = false;
  TimeMs NextProbe{0};
  TimeMs NextGuardExpiry{0};
  std::optional<TargetState> ReportedState;  ///< To callers and in the log.
  std::optional<TargetState> PublishedState; ///< To all nodes.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_TARGETSIDE_H
