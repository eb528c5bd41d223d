/// \file
/// The calls that enter the mesh at a node: routing, retries and deadlines.
///
/// \ref EntrySide::submit picks a target, sends the request to that target's
/// node and tracks the call until it is answered. When no reply arrives in
/// time, it fetches the outcome of the call from that node over a fresh
/// connection. A node that answers nothing may only be slow, so its run is kept
/// as long as another run would still be in time (policy/SilentAttempt.h), and
/// taken up again if no other target takes the call. The
/// call fails over to another target if it is known not to have
/// run, or if it is idempotent; otherwise the caller gets the known outcome.
/// The target of this node is reached by the same messages without the network.

#ifndef FESCUEWOOD_CALLS_ENTRYSIDE_H
#define FESCUEWOOD_CALLS_ENTRYSIDE_H

#include "calls/CallContext.h"
#include "nodes/CallMessages.h"
#include "policy/BodyTransfer.h"
#include "policy/MissingServices.h"
#include "policy/RecentRefusals.h"
#include "policy/RetryBudget.h"
#include "policy/Router.h"
#include "policy/SilentAttempt.h"
#include "policy/WithdrawnKeys.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuewood {

/// Minimum `Retry-After` delay of a refused call.
inline constexpr DurationMs MinRetryAfter{100};

/// Initial and maximum delay before target selection is retried for a call that
/// found no target.
inline constexpr DurationMs InitialRetryDelay{20};
inline constexpr DurationMs MaxRetryDelay{1000};

/// Minimum `Retry-After` delay of a call whose service has lastingly no target.
inline constexpr DurationMs LastingMissRetryAfter{1000};

/// Time for which calls to a node use fresh connections after its open
/// connection lost a message.
inline constexpr DurationMs FreshConnectionTime{1000};

/// The first outcome fetch of an attempt is sent after this multiple of the
/// target's typical answer time, bounded by `MinFirstFetchDelay` and the
/// heartbeat interval.
inline constexpr std::int64_t FirstFetchFactor = 4;
inline constexpr DurationMs MinFirstFetchDelay{40};

/// Maximum number of heartbeat intervals between two outcome fetches for a
/// call.
inline constexpr std::int64_t MaxHeartbeatFactor = 4;

/// Largest piece in the reply to a fetch while the reply to the start may still
/// arrive: a short answer as a whole, or the beginning of a long one, whose
/// rest is not sent twice.
inline constexpr std::uint64_t ProbePieceBytes = 8 * 1024;

/// Timeout of the fetch of a further piece, as a multiple of
/// CallSettings::FetchTimeout: the piece shares its link with others, and a
/// lost connection is reported earlier.
inline constexpr std::int64_t PieceTimeoutFactor = 3;

/// Number of consecutive unanswered fetches after which a node that has the
/// answer is given up.
inline constexpr std::uint32_t MaxUnansweredPieces = 2;

/// Direct access to the target side of the same node, without the network.
struct LocalTarget {
  std::function<void(CallStart, CallReplyHook)> Start;
  std::function<CallReply(const CallFetch &)> Fetch;
  std::function<CallReply(const CallCancel &)> Cancel;
};

/// An attempt to run a call on one target.
struct EntryAttempt {
  CallId Id;
  std::string Target;  ///< Instance name.
  std::string Address; ///< Empty for this node itself.
  TimeMs SentAt;
  /// The request is not sent yet: the node's incarnation is being fetched.
  bool AwaitingIncarnation = false;
  /// The request is not sent yet: its body is being staged at the node.
  std::optional<BodyTransfer> Staging;
  bool IsStaged = false; ///< The node has the body.
  /// The target may have been given the request.
  bool MayBeDelivered = false;
  bool StartPending = false; ///< The reply to the start may still arrive.
  /// Heartbeat intervals until the next fetch; grows with each Running reply.
  std::int64_t Heartbeats = 0;
  bool FetchPending = false;           ///< A fetch awaits its reply.
  std::uint32_t UnansweredFetches = 0; ///< Consecutive fetches without a reply.
  TimeMs HeardAt; ///< Last reply of the node, or the start of the attempt.
  /// What decides on the node's silence, from its first unanswered fetch to its
  /// next reply.
  std::optional<SilentAttempt> Silence;
  AnswerAssembler Answer;
  /// Size of the pieces of a node that sends smaller ones than asked for, since
  /// its link is scheduled; 0 otherwise.
  std::size_t PieceBytes = 0;
  /// Offsets of the pieces that are fetched ahead of the next one.
  std::set<std::uint64_t> FetchedAhead;

  /// Whether the request itself was sent, so that it may have run.
  bool isStarted() const { return !AwaitingIncarnation && !Staging; }
};

/// Calls that entered at one node. Not thread-safe; used only inside
/// CallContext::run.
class EntrySide {
public:
  EntrySide(CallContext &Context, LocalTarget Local);

  /// Starts a call. \p OnAnswer is called exactly once.
  void submit(CallHandle Handle, CallRequest Request, AnswerHook OnAnswer);

  /// Ends a call whose caller has disconnected.
  void cancel(CallHandle Handle);

  /// Applies the configuration in the context.
  void onConfig();

  void setInstances(std::span<const Instance> Instances);

  /// Runs the due steps: outcome fetches, retries and deadlines.
  void tick();

  /// Time of the next due step; Never if there is none.
  TimeMs nextDue() const {
    return Timers.empty() ? Never : Timers.begin()->first;
  }

  /// Refuses all unanswered calls with ResultCode::ShuttingDown.
  void refuseAll();

  /// Refuses the calls that wait for a target with ResultCode::ShuttingDown.
  /// Calls of the own target's runs stay.
  void refuseUnsent();

  bool idle() const { return Calls.empty(); }

  /// Whether a target beside another node can take calls to a service.
  bool hasOtherTarget(std::string_view Service) const;

  /// Sets the entry-side gauges in \p Status.
  void fill(CallStatus &Status) const;

  /// Bytes received so far of answers that are not complete.
  std::size_t joiningBytes() const;

  const Router &router() const { return Targets; }

private:
  using Attempt = EntryAttempt;

  struct EntryCall {
    CallRequest Request;
    AnswerHook OnAnswer;
    TimeMs SubmittedAt;
    TimeMs Deadline;
    TimeMs NextStepAt; ///< Time of the next step; its key in \ref Timers.
    std::size_t Bytes = 0;
    std::optional<Attempt> Current; ///< Unset while no target is selected.
    /// The run of a silent node, from which the call has moved. It is resumed
    /// if no other target takes the call, and cancelled once the call ends.
    std::optional<Attempt> Kept;
    std::vector<std::string> TriedTargets;
    std::uint32_t Attempts = 0; ///< Attempts started.
    /// Targets of ended attempts that may have been given the request.
    std::uint32_t PossibleDeliveries = 0;
    DurationMs RetryAfter{0};     ///< From the most recent refusal.
    std::uint32_t BrokenRuns = 0; ///< Runs that ended with a lost connection.
    DurationMs RetryDelay = InitialRetryDelay;
    ResultCode LastRefusal = ResultCode::NoTargetAvailable;
    /// Set once a message was lost on an open connection.
    bool UseFreshConnections = false;
    /// Route of the run that made the call; unset if it is no inner call, or
    /// such calls decide nothing.
    std::optional<std::string> ParentRoute;
    bool SawSilence = false; ///< A node that had the call did not answer.
    bool MayHaveRun = false; ///< An earlier attempt ended with unknown outcome.
    /// A target's failure answer, returned to the caller unless a retry
    /// succeeds.
    std::optional<CallAnswer> Fallback;
    CallId FallbackId; ///< The attempt that Fallback is from.
  };

  /// State of the connection to a node.
  struct Link {
    TimeMs LastReplyAt{0};         ///< Last reply over the reused connection.
    TimeMs FreshUntil{0};          ///< Fresh connections are used until then.
    std::uint64_t Incarnation = 0; ///< Of the node; 0 while unknown.
  };

  using CallMap = std::map<CallHandle, EntryCall>;

  std::optional<std::string> adoptParent(CallRequest &Request) const;
  bool hasHeardSince(const Attempt &Sent) const;
  void recordInnerCall(const EntryCall &Call, const CallAnswer &Answer);
  bool exceedsHeldBytes(const EntryCall &Call) const;
  /// Returns the call if \p Id is its current attempt, otherwise null.
  EntryCall *find(CallHandle Handle, const CallId &Id);
  /// Schedules the next step for \p When or the end of the call, whichever is
  /// earlier.
  void schedule(CallHandle Handle, EntryCall &Call, TimeMs When);
  void step(CallHandle Handle);

  void dispatch(CallHandle Handle, EntryCall &Call);
  const Instance *pickTarget(EntryCall &Call);
  void rememberRefusal(const EntryCall &Call, ResultCode Reason,
                       DurationMs RetryAfter);
  static CallProfile profileOf(const EntryCall &Call, std::string_view Target,
                               TimeMs Now);
  void waitOrRefuse(CallHandle Handle, EntryCall &Call);
  void startAttempt(CallHandle Handle, EntryCall &Call, const Instance &Target);
  DurationMs firstFetchDelay(const Attempt &Current) const;
  void sendBodyOrStart(CallHandle Handle, EntryCall &Call);
  bool usesStaging(const EntryCall &Call) const;
  void sendBody(CallHandle Handle, EntryCall &Call);
  void sendBodyPiece(CallHandle Handle, const EntryCall &Call,
                     const BodyRange &Range);
  void onBodyReply(CallHandle Handle, const CallId &Id, const BodyRange &Range,
                   const PeerReply &Reply, PeerRoute Route);
  void onBodyUnanswered(CallHandle Handle, EntryCall &Call, ResultCode Reason);
  void sendStart(CallHandle Handle, EntryCall &Call);
  void queryIncarnation(CallHandle Handle, EntryCall &Call);
  PeerRoute fetchRoute(const Attempt &Current, PeerRoute Route);
  void fetchAhead(CallHandle Handle, EntryCall &Call);
  CallFetch outcomeFetch(const Attempt &Current) const;
  DurationMs fetchTimeout(EntryCall &Call) const;
  void sendFetch(CallHandle Handle, const Attempt &Current,
                 const CallFetch &Fetch, PeerRoute Route, DurationMs Timeout);
  void fetchOutcome(CallHandle Handle, EntryCall &Call, PeerRoute Route);
  void sendCancel(const Attempt &Cancelled);

  void onStartReply(CallHandle Handle, const CallId &Id, const PeerReply &Reply,
                    PeerRoute Route);
  void onFetchReply(CallHandle Handle, const CallFetch &Fetch,
                    const PeerReply &Reply, PeerRoute Route);
  void onReply(CallHandle Handle, EntryCall &Call, const CallReply &Reply);
  void onIncarnationReply(CallHandle Handle, EntryCall &Call, bool Answered);
  void onFetchFailed(CallHandle Handle, EntryCall &Call);
  const Instance *otherTarget(const EntryCall &Call) const;
  const std::optional<SilentAttempt> &silence(EntryCall &Call) const;
  SilenceVerdict judge(EntryCall &Call) const;
  void moveOrWait(CallHandle Handle, EntryCall &Call);
  void onDone(CallHandle Handle, EntryCall &Call, const CallReply &Reply);
  void awaitRest(CallHandle Handle, EntryCall &Call);
  void onRefused(CallHandle Handle, EntryCall &Call, ResultCode Reason,
                 DurationMs RetryAfter = DurationMs(0));
  void onNeverSeen(CallHandle Handle, EntryCall &Call, const CallReply &Reply);
  void onAnswer(CallHandle Handle, EntryCall &Call, CallAnswer Answer);
  void onReplyMetadata(const CallReply &Reply, const PeerIdentity &Sender,
                       const Attempt &Source, PeerRoute Route);
  static TargetLoad targetLoad(const LoadReport &Report, ResultCode Refusal,
                               DurationMs RetryAfter);
  void onHeard(TargetLoad Load, const PeerIdentity &Sender,
               const Attempt &Source, PeerRoute Route);

  /// Whether the remote node may still work on an attempt that has ended here.
  enum class RemoteWork : std::uint8_t {
    Ended,
    MayContinue, ///< It does and is cancelled.
    Kept,        ///< It does and is kept as EntryCall::Kept.
  };

  bool hasWaitedTooLong(const EntryCall &Call) const;
  bool isLastingMiss(EntryCall &Call);
  bool claimRetry(EntryCall &Call, bool UsesBudget);
  void failOver(CallHandle Handle, EntryCall &Call, std::string_view Reason,
                RemoteWork Remote);
  void endAttempt(EntryCall &Call, RemoteWork Remote);
  void cancelKept(EntryCall &Call);
  bool resumeKept(CallHandle Handle, EntryCall &Call);
  void expire(CallHandle Handle, EntryCall &Call);
  void refuse(CallHandle Handle, EntryCall &Call, ResultCode Reason,
              Outcome RunOutcome);
  void reportEnd(EventId Id, const EntryCall &Call,
                 std::vector<EventField> Details, ResultCode Reason,
                 Outcome RunOutcome) const;
  static std::string lastTarget(const EntryCall &Call);
  DurationMs retryAfter(const EntryCall &Call);
  void reportAnswer(const EntryCall &Call, const CallId &Source,
                    const CallAnswer &Answer) const;
  void finish(CallHandle Handle, EntryCall &Call, CallAnswer Answer);
  Outcome outcomeOfEarlierAttempts(const EntryCall &Call) const;

  CallContext &Context;
  LocalTarget Local;
  Router Targets;
  RetryBudget Budget;
  WithdrawnKeys Withdrawn;
  RecentRefusals RefusedLately;       ///< For lack of time.
  RecentRefusals RefusedByLinkLately; ///< Calls with large payloads.
  MissingServices Missing;
  CallMap Calls;
  std::set<std::pair<TimeMs, CallHandle>> Timers;
  std::map<std::string, Link, std::less<>> Links; ///< By address.
  std::uint64_t NextSequence = 1;
  std::size_t HeldBytes = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_ENTRYSIDE_H
