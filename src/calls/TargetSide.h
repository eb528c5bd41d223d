/// \file
/// The side of the calls duty that stands beside the target.
///
/// It is the one authority over what the target is given: every request, also
/// one that entered at this node, comes through \ref TargetSide::start, waits
/// in a fair queue, and runs when the admission limit has room. What became of
/// it stays in a ledger, from which \ref TargetSide::fetch answers.

#ifndef FESCUEWOOD_CALLS_TARGETSIDE_H
#define FESCUEWOOD_CALLS_TARGETSIDE_H

#include "calls/CallContext.h"
#include "calls/TargetPort.h"
#include "nodes/CallMessages.h"
#include "policy/AdmissionLimit.h"
#include "policy/CallLedger.h"
#include "policy/CrashEvidence.h"
#include "policy/FairQueue.h"
#include "policy/ListedInstance.h"
#include "policy/WarmupLimit.h"
#include "policy/WithdrawnKeys.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace fescuewood {

/// Time for which a run that was given up still counts against the limit, while
/// the target notices.
inline constexpr DurationMs AbandonedRunHold{100};

/// The calls of one target. Not thread-safe; used inside CallContext::run.
class TargetSide {
public:
  explicit TargetSide(CallContext &Context);

  /// Takes a request. The reply comes when it has ended or is refused; a
  /// request that is known already is answered at once with its state.
  void start(CallStart Start, const CallReplyHook &OnReply);

  /// Answers what became of a call, and fences it when so asked.
  CallReply fetch(const CallFetch &Fetch);

  /// Ends a call that nobody waits for.
  CallReply cancel(const CallCancel &Cancel);

  /// Applies the configuration in the context to what waits.
  void onConfig();

  /// Takes what the platform lists of the target; nothing when it lists none.
  void onListed(const std::optional<ListedInstance> &Entry);

  /// Refuses new work from now on.
  void onDraining();

  /// Drops what is late, forgets what is old, probes a target that is down.
  void tick();

  /// Whether no request waits or runs.
  bool idle() const { return Held.empty() && InFlight == 0; }

  /// The load that goes out with every reply.
  LoadReport load();

  /// Copies this side's figures.
  void fill(CallStatus &Status);

private:
  struct HeldCall {
    CallRequest Request;
    CallReplyHook OnReply;
    TimeMs Arrived;
    TimeMs Started;
    TimeMs Deadline;
    bool Running = false;
    bool Cancelled = false;
    std::uint64_t Epoch = 0; ///< Of the target when it started.
    /// Why its run broke off; Ok while it has not. It is answered once it is
    /// known whether the target crashed.
    ResultCode BrokenBy = ResultCode::Ok;
  };

  CallReply describe(const CallId &Id, std::uint64_t Offset);
  CallReply frame();
  DurationMs retryAfter(ResultCode Reason);
  ResultCode refusalOnArrival(const CallRequest &Request);
  ResultCode refusalOnStart(const CallRequest &Request);
  QueuedCall queued(const CallRequest &Request, TimeMs Deadline) const;
  void enqueue(const CallId &Id);
  void pump();
  std::uint32_t allowed();
  void run(const CallId &Id, HeldCall &Call);
  CallRequest outgoing(const HeldCall &Call) const;
  void onResult(const CallId &Id, RunResult Result);
  void onAnswer(const CallId &Id, CallAnswer Answer);
  void onBroken(const CallId &Id, HeldCall &Call, ResultCode Reason);
  void settleBroken(CrashVerdict Verdict);
  void blame(const HeldCall &Call);
  bool othersRun() const;
  void reportRun(const HeldCall &Call, const RunResult &Result,
                 TimeMs Now) const;
  void learn(const HeldCall &Call, const RunResult &Result, TimeMs Now);
  void end(const CallId &Id, const CallReply &Reply);
  void refuse(const CallId &Id, ResultCode Reason);
  void refuseAllQueued(ResultCode Reason);
  void onMistaken();
  void goDown();
  void probe();
  void onProbe(const ProbeResult &Result);
  ResultCode refusalByListing() const;
  void setColdFor(DurationMs Span);
  void releaseAbandoned(TimeMs Now);
  void setState();
  ServiceRate rate();
  bool ownDomainOut() const;

  CallContext &Context;
  CallLedger Ledger;
  FairQueue Queue;
  AdmissionLimit Limit;
  WithdrawnKeys Withdrawn;
  std::map<CallId, HeldCall> Held;
  std::deque<TimeMs> Abandoned; ///< When each given-up run is let go of.
  std::uint32_t InFlight = 0;   ///< At the target, abandoned ones included.
  CrashEvidence Evidence;
  std::optional<ListedInstance> Listed; ///< Only where the platform lists it.
  WarmupLimit Warmup;
  DurationMs SlowStart{0};
  std::uint64_t Epoch = 0; ///< Grows by one with each noticed crash.
  bool Suspended = false;  ///< Nothing starts until a probe says so.
  bool Down = false;
  TimeMs MistakenUntil;   ///< The target is another than the listed one.
  bool OutBefore = false; ///< Own domain, in the last configuration.
  bool Probing = false;
  TimeMs NextProbe{0};
  TimeMs NextGuardExpiry{0};
  std::optional<TargetState> Told;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_TARGETSIDE_H
