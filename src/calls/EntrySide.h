/// \file
/// The side of the calls duty where a call enters the mesh.
///
/// \ref EntrySide::submit picks a target, sends the request to the node beside
/// it, and follows it to its one answer. When no answer comes it asks that node
/// what became of the call, over a fresh connection. The call moves to another
/// target when it is known not to have run, or when it is idempotent; otherwise
/// the caller is told what is known. A target beside this very node is reached
/// by the same messages without the network.

#ifndef FESCUEWOOD_CALLS_ENTRYSIDE_H
#define FESCUEWOOD_CALLS_ENTRYSIDE_H

#include "calls/CallContext.h"
#include "nodes/CallMessages.h"
#include "policy/RetryBudget.h"
#include "policy/Router.h"
#include "policy/WithdrawnKeys.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

namespace fescuewood {

/// Time after a call's deadline in which the last word about it may still come.
inline constexpr DurationMs AnswerGrace{100};

/// Least time after which a refused caller is told to come back.
inline constexpr DurationMs LeastComeBack{100};

/// First and longest pause before a call that found no target looks again.
inline constexpr DurationMs FirstRetryPause{20};
inline constexpr DurationMs LongestRetryPause{1000};

/// Time for which calls to a node whose connection lost one use fresh ones.
inline constexpr DurationMs FreshConnectionTime{1000};

/// Times its typical answer time after which a call is first asked about, and
/// the least silence for that; the heartbeat interval is the most.
inline constexpr std::int64_t PatienceFactor = 4;
inline constexpr DurationMs LeastPatience{40};

/// Most heartbeat intervals between two questions about one call.
inline constexpr std::int64_t MaxHeartbeatFactor = 4;

/// The target side of the same node, reached without the network.
struct LocalTarget {
  std::function<void(CallStart, CallReplyHook)> Start;
  std::function<CallReply(const CallFetch &)> Fetch;
  std::function<CallReply(const CallCancel &)> Cancel;
};

/// One request sent to one node.
struct EntryAttempt {
  CallId Id;
  std::string Target;  ///< Instance name.
  std::string Address; ///< Empty for the own node.
  TimeMs SentAt;
  bool Greeting = false; ///< Not sent yet: the node's incarnation is asked.
  std::int64_t Heartbeats = 0;
  bool Asking = false;          ///< A question is under way.
  std::uint32_t Unanswered = 0; ///< Questions without a reply, in a row.
  AnswerAssembler Answer;
};

/// The calls that entered at one node. Not thread-safe; used inside
/// CallContext::run.
class EntrySide {
public:
  EntrySide(CallContext &Context, LocalTarget Local);

  /// Takes a call; the hook is called exactly once.
  void submit(CallHandle Handle, CallRequest Request, AnswerHook OnAnswer);

  /// Ends a call whose caller has gone.
  void cancel(CallHandle Handle);

  /// Applies the configuration in the context.
  void onConfig();

  void setInstances(std::span<const Instance> Instances);

  /// Does what is due: questions, moves and deadlines.
  void tick();

  /// Answers every call that is left, because the process ends.
  void abandonAll();

  bool idle() const { return Calls.empty(); }

  /// Copies this side's figures.
  void fill(CallStatus &Status) const;

  const Router &router() const { return Targets; }

private:
  using Attempt = EntryAttempt;

  struct EntryCall {
    CallRequest Request;
    AnswerHook OnAnswer;
    TimeMs Submitted;
    TimeMs Deadline;
    TimeMs Due; ///< Of the next step; also its place in \ref Timers.
    std::size_t Bytes = 0;
    std::optional<Attempt> Present; ///< Nothing while it looks for a target.
    std::vector<std::string> Tried;
    std::uint32_t Attempts = 0;   ///< Nodes that it was sent to.
    std::uint32_t Offers = 0;     ///< Targets that it may have been given to.
    DurationMs RetryAfter{0};     ///< As the last refusal said.
    std::uint32_t BrokenRuns = 0; ///< Targets that broke off while running it.
    DurationMs Pause = FirstRetryPause;
    ResultCode LastRefusal = ResultCode::NoTargetAvailable;
    bool MetSilence = false; ///< Goes by fresh connections from now on.
    bool MayHaveRun = false; ///< An attempt was left without a last word.
    /// A target's own failure, for the caller unless another target does
    /// better.
    std::optional<CallAnswer> Fallback;
  };

  /// What is known of the open connection to a node.
  struct Link {
    TimeMs Heard{0};               ///< Last reply over it.
    TimeMs FreshUntil{0};          ///< Until then fresh connections are used.
    std::uint64_t Incarnation = 0; ///< Of the node; 0 until it is known.
  };

  using CallMap = std::map<CallHandle, EntryCall>;

  EntryCall *find(CallHandle Handle, const CallId &Id);
  /// Sets the time of the next step, at the latest when the call ends.
  void schedule(CallHandle Handle, EntryCall &Call, TimeMs When);
  void step(CallHandle Handle);

  void dispatch(CallHandle Handle, EntryCall &Call);
  void park(CallHandle Handle, EntryCall &Call);
  void begin(CallHandle Handle, EntryCall &Call, const Instance &Target);
  DurationMs patience(const Attempt &Present) const;
  void sendStart(CallHandle Handle, EntryCall &Call);
  void greet(CallHandle Handle, EntryCall &Call);
  void sendFetch(CallHandle Handle, const Attempt &Present,
                 const CallFetch &Fetch, PeerRoute Route, DurationMs Timeout);
  void ask(CallHandle Handle, EntryCall &Call, PeerRoute Route);
  void tellCancelled(const Attempt &Gone);

  void onStartReply(CallHandle Handle, const CallId &Id, const PeerReply &Reply,
                    PeerRoute Route);
  void onFetchReply(CallHandle Handle, const CallId &Id, const PeerReply &Reply,
                    PeerRoute Route);
  void onReply(CallHandle Handle, EntryCall &Call, const CallReply &Reply);
  void onGreeted(CallHandle Handle, EntryCall &Call, bool Answered);
  void onNoReply(CallHandle Handle, EntryCall &Call);
  void onDone(CallHandle Handle, EntryCall &Call, const CallReply &Reply);
  void onRefused(CallHandle Handle, EntryCall &Call, ResultCode Reason,
                 DurationMs RetryAfter = DurationMs(0));
  void onNeverSeen(CallHandle Handle, EntryCall &Call, const CallReply &Reply);
  void onAnswer(CallHandle Handle, EntryCall &Call, CallAnswer Answer);
  void hear(const CallReply &Reply, const PeerIdentity &Sender,
            const Attempt &From, PeerRoute Route);

  /// Whether the node of an attempt that is left may still work on it.
  enum class Leaving : std::uint8_t { Settled, Unsettled };

  bool waitedInVain(const EntryCall &Call) const;
  bool mayMove(EntryCall &Call, bool Costs);
  void move(CallHandle Handle, EntryCall &Call, std::string_view Why,
            Leaving Left);
  void leave(EntryCall &Call, Leaving Left);
  void giveUp(CallHandle Handle, EntryCall &Call);
  void refuse(CallHandle Handle, EntryCall &Call, ResultCode Reason,
              Outcome Ran);
  void reportEnd(EventId Id, const EntryCall &Call, EventField Detail,
                 ResultCode Reason, Outcome Ran) const;
  static std::string lastTarget(const EntryCall &Call);
  DurationMs comeBack(const EntryCall &Call);
  void reportAnswer(const EntryCall &Call, const CallAnswer &Answer) const;
  void finish(CallHandle Handle, EntryCall &Call, CallAnswer Answer);
  Outcome unrun(const EntryCall &Call) const;

  CallContext &Context;
  LocalTarget Local;
  Router Targets;
  RetryBudget Budget;
  WithdrawnKeys Withdrawn;
  CallMap Calls;
  std::set<std::pair<TimeMs, CallHandle>> Timers;
  std::map<std::string, Link, std::less<>> Links; ///< By address.
  std::uint64_t NextSequence = 1;
  std::size_t HeldBytes = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_ENTRYSIDE_H
