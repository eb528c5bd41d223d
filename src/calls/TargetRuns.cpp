// Execution of calls on the target: starting runs, processing their results and
// recovering from crashes. TargetSide.cpp has the rest of the class.

#include "calls/TargetSide.h"

#include "callers/HeaderFields.h"
#include "calls/Refusals.h"

#include <algorithm>
#include <fmt/format.h>
#include <limits>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

constexpr int TooManyRequests = 429;
constexpr int FirstServerError = 500;
constexpr int BadGateway = 502;
constexpr int GatewayTimeout = 504;

/// Time for which a target counts as unlisted after another target answered at
/// its address. Targets write their list entries every second or two, so a
/// stale list has usually caught up by then.
constexpr DurationMs MistakenPeriod{2000};

/// Concurrent runs until the first answer of a target shows what it takes.
constexpr std::uint32_t FirstRuns = 2;

RunOutcome runVerdict(const RunResult &Result) {
  if (Result.Answer) {
    const int Status = Result.Answer->Status;
    if (Status == ServiceUnavailable || Status == TooManyRequests)
      return RunOutcome::Shed;
    return Status >= FirstServerError ? RunOutcome::Failed
                                      : RunOutcome::Answered;
  }
  switch (Result.Failure) {
  case RunFailure::NotReached:
    return RunOutcome::Lost;
  case RunFailure::TimedOut:
    return RunOutcome::TimedOut;
  case RunFailure::Unusable:
    return RunOutcome::Answered;
  case RunFailure::None:
  case RunFailure::Broken:
  case RunFailure::Cancelled:
  case RunFailure::NotSent:
    break;
  }
  return RunOutcome::Failed;
}

} // namespace

void TargetSide::startQueued() {
  while (!Down && !Suspended && !AwaitingNotice &&
         InFlight < concurrencyLimit()) {
    if (Queue->size() == 0)
      return Queue->onSpareCapacity();
    if (!Announced.limit().mayStart(Context.now()) ||
        !Warmup.take(Context.now()))
      return;
    const auto Next = Queue->pop(serviceRate(), Context.now());
    if (!Next)
      return;
    HeldCall &Call = HeldCalls.at(*Next);
    const ResultCode Refusal = refusalOnStart(Call);
    if (Refusal == ResultCode::Ok)
      run(*Next, Call);
    else
      refuse(*Next, Refusal);
  }
}

std::uint32_t TargetSide::concurrencyLimit() {
  if (announcesState() && !Announced.known())
    return FirstRuns;
  switch (Context.Settings.Admission) {
  case AdmissionMode::Adaptive:
    return Limit.limit(Context.now());
  case AdmissionMode::Slots:
    return Limit.slots();
  case AdmissionMode::Off:
    break;
  }
  return std::numeric_limits<std::uint32_t>::max();
}

void TargetSide::run(const CallId &Id, HeldCall &Call) {
  const TimeMs Now = Context.now();
  Call.Running = true;
  Call.StartedAt = Now;
  Call.Epoch = Epoch;
  Call.TargetId = NamedTarget;
  Call.AnswerBytes = Memory.reserve(Call.Request.Route);
  ProducingBytes += Call.LinkBytes;
  ++InFlight;
  Context.Parents.add(requestId(Call.Request, Context.Identity.Scheme),
                      Call.Deadline, Call.Request.Route);
  Announced.onRequestSent(Now);
  ++Context.Counters.Runs;
  if (Now > Call.LatestTimelyStart)
    ++Context.Counters.StartedLate;
  Context.Counters.QueueWait.add(Now - Call.ArrivedAt);
  CallRequest Request = targetRequest(Call);
  // Lent for the time of the hook, which makes its own copy.
  Request.Body.swap(Call.Request.Body);
  const DurationMs Timeout = Request.Remaining;
  Context.Hooks.Target.Run(Request, Timeout, [this, Id](RunResult Result) {
    Context.run([this, Id, Result = std::move(Result)]() mutable {
      onResult(Id, std::move(Result));
    });
  });
  Request.Body.swap(Call.Request.Body);
}

/// The request as the target gets it, without its body.
CallRequest TargetSide::targetRequest(HeldCall &Call) const {
  CallRequest Request = copyWithoutBody(Call.Request);
  Request.Remaining = Call.Deadline - Call.StartedAt;
  if (Context.Config && Request.CanWait) {
    // The waiting time of a call does not extend its run time.
    if (const Route *MatchedRoute =
            Context.Config->findRouteByName(Request.Route))
      Request.Remaining = std::min(Request.Remaining, MatchedRoute->Timeout);
  }
  const HeaderScheme &Scheme = Context.Identity.Scheme;
  setField(Request.Headers, Scheme.RemainingTime,
           std::to_string(Request.Remaining.Value));
  setField(Request.Headers, Scheme.Depth, std::to_string(Request.Depth));
  if (Scheme.UseCallTokens && Context.Hooks.IssueToken)
    setField(Request.Headers, Scheme.CallToken,
             Context.Hooks.IssueToken(Request));
  if (Listing.entry())
    setField(Request.Headers, Scheme.TargetInstance, Listing.entry()->TargetId);
  return Request;
}

void TargetSide::onResult(const CallId &Id, RunResult Result) {
  const auto Found = HeldCalls.find(Id);
  if (Found == HeldCalls.end())
    return;
  const TimeMs Now = Context.now();
  HeldCall &Call = Found->second;
  Context.Parents.remove(requestId(Call.Request, Context.Identity.Scheme),
                         Call.Deadline);
  Context.Counters.TargetLatency.add(Now - Call.StartedAt);
  recordResult(Call, Result, Now);
  reportRun(Call, Result, Now);
  const std::optional<TargetNotice> Notice = Result.Notice;
  const TimeMs SentAt = Call.StartedAt;
  const bool WasMeantForThis = Call.TargetId == NamedTarget;
  const bool WasAbandoned = Result.Failure == RunFailure::TimedOut ||
                            Result.Failure == RunFailure::Cancelled;
  if (WasAbandoned)
    AbandonedRuns.push_back(Now + AbandonedRunHold);
  else
    --InFlight;
  if (Result.Answer)
    onAnswer(Id, std::move(*Result.Answer));
  else if (Result.Failure == RunFailure::NotReached ||
           Result.Failure == RunFailure::NotSent)
    refuse(Id, Result.Reason);
  else if (Result.Failure == RunFailure::Broken)
    onBroken(Id, Call, Result.Reason);
  else {
    onAnswer(Id, refusal(WasAbandoned ? GatewayTimeout : BadGateway,
                         Result.Reason, Result.RunOutcome));
  }
  if (Result.Failure == RunFailure::NotReached)
    onUnreached(SentAt);
  else if (Evidence.survivalProven())
    resumeAfterAbort();
  if (Result.Reason == ResultCode::TargetMistaken && WasMeantForThis)
    onMistaken();
  if (Notice)
    onNotice(*Notice, SentAt);
  updateState();
  startQueued();
}

void TargetSide::reportRun(const HeldCall &Call, const RunResult &Result,
                           TimeMs Now) const {
  std::vector<EventField> Fields = {
      {"request", requestId(Call.Request, Context.Identity.Scheme)},
      {"call", Call.Request.Id.text()},
      {"organisation", Call.Request.Organisation},
      {"route", Call.Request.Route},
      {"target",
       Listing.entry() ? Listing.entry()->TargetId : Context.Identity.Name},
      {"staged_ms", std::to_string(Call.StagedFor.Value)},
      {"queued_ms", std::to_string((Call.StartedAt - Call.ArrivedAt).Value)},
      {"ran_ms", std::to_string((Now - Call.StartedAt).Value)},
      {"connection", std::to_string(Result.Use.LocalPort)},
      {"place", std::to_string(Result.Use.Place)},
      {"status", std::to_string(Result.Answer ? Result.Answer->Status : 0)},
      {"reason", std::string(resultName(Result.Reason))}};
  if (Call.LinkBytes > 0)
    Fields.push_back(
        {"link_ms", std::to_string(Replies.timeToSend(Call.LinkBytes).Value)});
  Context.report(EventId::RunEnded, std::move(Fields));
}

void TargetSide::recordResult(const HeldCall &Call, const RunResult &Result,
                              TimeMs Now) {
  const std::uint32_t Before = Limit.limit(Now);
  if (Result.Answer && Call.Epoch == Epoch) {
    Evidence.onAnsweredRun(Now);
    AnsweredAt = Now;
  }
  const bool IsLimitEvidence = Result.Failure != RunFailure::Cancelled &&
                               Result.Failure != RunFailure::NotSent;
  if (Result.Answer || IsLimitEvidence)
    Limit.onResult(Call.Request.Route, runVerdict(Result), Now - Call.StartedAt,
                   InFlight, Now);
  const std::uint32_t After = Limit.limit(Now);
  if (After < Before) {
    Context.report(EventId::LimitReduced,
                   {{"target", Context.Identity.Name},
                    {"limit", std::to_string(After)},
                    {"slots", std::to_string(Limit.slots())}});
  }
  if (Result.Answer && !Context.Guard.empty())
    Context.Guard.onSuccess(fingerprintOf(Call.Request));
}

void TargetSide::onAnswer(const CallId &Id, CallAnswer Answer) {
  if (Answer.Reason == ResultCode::Ok)
    Answer.RequestOutcome = Outcome::Ran;
  HeldCall &Call = HeldCalls.at(Id);
  std::string Encoded = encodeAnswer(Answer);
  Memory.release(std::exchange(Call.AnswerBytes, 0));
  if (Answer.Reason == ResultCode::Ok)
    Memory.onAnswer(Call.Request.Route, Answer.Status, Encoded.size());
  const std::size_t Dropped =
      Ledger.finish(Id, std::move(Encoded), answerExpiry(Call), Context.now());
  if (Dropped > 0)
    Context.report(EventId::AnswersDropped,
                   {{"answers", std::to_string(Dropped)},
                    {"kept_bytes", std::to_string(Ledger.keptBytes())}});
  if (Call.Cancelled)
    Ledger.release(Id);
  finish(Id, ledgerReply(Id, 0));
}

/// Time from which the entry node no longer asks for the answer of a call: the
/// call has then ended there too. The rest is for a message on its way.
TimeMs TargetSide::answerExpiry(const HeldCall &Call) const {
  return Call.Deadline + AnswerGrace + Context.Settings.FetchTimeout;
}

void TargetSide::onBroken(const CallId &Id, HeldCall &Call, ResultCode Reason) {
  if (Call.Epoch == Epoch) {
    Call.BrokenReason = Reason;
    Evidence.onAbortedRun(Id, Context.now());
  } else {
    // The run was lost in an earlier, already detected crash.
    recordCrashedRun(Call);
    onAnswer(Id, refusal(BadGateway, Reason, Outcome::Unknown));
  }
  Suspended = true;
  probe();
}

void TargetSide::resolveBrokenRuns(CrashVerdict Verdict) {
  const std::vector<CallId> Broken = Evidence.take();
  const bool Crashed = Verdict == CrashVerdict::Crashed;
  if (Crashed) {
    ++Context.Counters.Crashes;
    Context.report(EventId::TargetCrashed, {{"target", Context.Identity.Name}});
    for (const CallId &Id : Broken)
      recordCrashedRun(HeldCalls.at(Id));
    ++Epoch;
    AnsweredAt = TimeMs(0);
  }
  // Replies are sent after all crashes are recorded, so that each one carries
  // all crash marks.
  for (const CallId &Id : Broken)
    onAnswer(Id, refusal(BadGateway, HeldCalls.at(Id).BrokenReason,
                         Outcome::Unknown));
}

void TargetSide::recordCrashedRun(const HeldCall &Call) {
  // All runs lost in the same crash share its id.
  const CrashId Crash =
      stableHash(fmt::format("{:x}/{}", Context.Process, Call.Epoch));
  const RequestFingerprint Request = fingerprintOf(Call.Request);
  if (Context.Guard.onCrash(Request, Crash, Context.now())) {
    Context.report(EventId::RequestQuarantined,
                   {{"target", Context.Identity.Name},
                    {"organisation", Call.Request.Organisation},
                    {"route", Call.Request.Route},
                    {"call", Call.Request.Id.text()}});
  }
}

bool TargetSide::hasOtherRuns() const {
  return std::any_of(
      HeldCalls.begin(), HeldCalls.end(), [this](const auto &Item) {
        const HeldCall &Call = Item.second;
        return Call.Running && Call.BrokenReason == ResultCode::Ok &&
               Call.Epoch == Epoch;
      });
}

/// Handles an answer from another target than the listed one. Calls are refused
/// until the list is updated or `MistakenPeriod` has passed; the next request
/// then shows whether the address is still mistaken.
void TargetSide::onMistaken() {
  MistakenUntil = Context.now() + MistakenPeriod;
  refuseQueued(ResultCode::TargetUnlisted);
}

/// Handles a run that could not connect. A target that has answered others
/// since is full, not down; one that still runs others may be either.
void TargetSide::onUnreached(TimeMs SentAt) {
  if (isAlive(SentAt))
    return;
  if (!hasOtherRuns()) {
    onTargetDown();
    return;
  }
  Suspended = true;
  probe();
}

/// Whether the target has answered a run well after \p Since.
bool TargetSide::isAlive(TimeMs Since) const {
  return AnsweredAt - Since >= MinSurvivalTime;
}

/// Goes on without the probe, which a full target may leave unanswered.
void TargetSide::resumeAfterAbort() {
  resolveBrokenRuns(CrashVerdict::StillRunning);
  Suspended = false;
  Down = false;
}

void TargetSide::onTargetDown() {
  if (!Down)
    NextProbe = Context.now() + Context.Settings.ProbeInterval;
  Down = true;
  Suspended = false;
  if (!Evidence.empty())
    resolveBrokenRuns(CrashVerdict::Crashed);
  updateState();
  refuseQueued(ResultCode::TargetDown);
}

void TargetSide::probe() {
  if (Probing)
    return;
  const TimeMs SentAt = Context.now();
  NextProbe = SentAt + Context.Settings.ProbeInterval;
  Evidence.onProbeSent();
  if (!Context.Hooks.Target.Probe) {
    onProbe({true});
    return;
  }
  Probing = true;
  Context.Hooks.Target.Probe([this, SentAt](const ProbeResult &Result) {
    Context.run([this, SentAt, Result] {
      Probing = false;
      onProbeNotice(Result, SentAt);
      if (Result.Reachable || !isAlive(SentAt)) {
        onProbe(Result);
        return;
      }
      resumeAfterAbort();
      updateState();
      startQueued();
    });
  });
}

void TargetSide::onProbe(const ProbeResult &Result) {
  if (!Result.Reachable) {
    onTargetDown();
    return;
  }
  const CrashVerdict Verdict = Evidence.judge(Result.Reachable, hasOtherRuns());
  if (Verdict == CrashVerdict::ProbeAgain) {
    probe();
    return;
  }
  resolveBrokenRuns(Verdict);
  // Runs that started before the lost connection and are still active show that
  // the target did not restart; otherwise it is assumed to be cold.
  if (Down || Verdict != CrashVerdict::StillRunning)
    Limit.restartAfterLoss(Context.now());
  if (Result.ColdFor)
    setColdFor(*Result.ColdFor);
  else if (Down || Verdict == CrashVerdict::Crashed)
    setColdFor(SlowStart);
  Down = false;
  Suspended = false;
  updateState();
  startQueued();
}

void TargetSide::releaseAbandoned(TimeMs Now) {
  while (!AbandonedRuns.empty() && AbandonedRuns.front() <= Now) {
    AbandonedRuns.pop_front();
    --InFlight;
  }
}

} // namespace fescuewood
