// The runs at the target: when one starts, what its end teaches, and how a
// target that broke off comes back. The other half of TargetSide takes and
// answers messages.

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

/// A list that is behind has usually caught up by then: targets write their
/// entries every second or two.
constexpr DurationMs MistakenTime{2000};

RunOutcome verdictOf(const RunResult &Result) {
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

void TargetSide::pump() {
  while (!Down && !Suspended && InFlight < allowed()) {
    if (Queue.size() == 0)
      return Queue.onSpareCapacity();
    if (!Warmup.take(Context.now()))
      return;
    const auto Next = Queue.pop(rate(), Context.now());
    if (!Next)
      return;
    HeldCall &Call = Held.at(*Next);
    const ResultCode Refusal = refusalOnStart(Call.Request);
    if (Refusal == ResultCode::Ok)
      run(*Next, Call);
    else
      refuse(*Next, Refusal);
  }
}

std::uint32_t TargetSide::allowed() {
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
  Call.Started = Now;
  Call.Epoch = Epoch;
  ++InFlight;
  ++Context.Figures.Runs;
  Context.Figures.QueueWait.add(Now - Call.Arrived);
  CallRequest Request = outgoing(Call);
  const DurationMs Timeout = Request.Remaining;
  Context.Hooks.Target.Run(Request, Timeout, [this, Id](RunResult Result) {
    Context.run([this, Id, Result = std::move(Result)]() mutable {
      onResult(Id, std::move(Result));
    });
  });
}

CallRequest TargetSide::outgoing(const HeldCall &Call) const {
  CallRequest Request = Call.Request;
  Request.Remaining = Call.Deadline - Call.Started;
  if (Context.Config && Request.CanWait) {
    // The time that a call may wait is not time that it may run.
    if (const Route *Matched = Context.Config->routeNamed(Request.Route))
      Request.Remaining = std::min(Request.Remaining, Matched->Timeout);
  }
  const HeaderScheme &Scheme = Context.Self.Scheme;
  setField(Request.Headers, Scheme.TimeLeft,
           std::to_string(Request.Remaining.Value));
  setField(Request.Headers, Scheme.Depth, std::to_string(Request.Depth));
  if (Scheme.CallTokens && Context.Hooks.IssueToken)
    setField(Request.Headers, Scheme.CallToken,
             Context.Hooks.IssueToken(Request));
  if (Listed)
    setField(Request.Headers, Scheme.TargetInstance, Listed->TargetId);
  return Request;
}

void TargetSide::onResult(const CallId &Id, RunResult Result) {
  const auto Found = Held.find(Id);
  if (Found == Held.end())
    return;
  const TimeMs Now = Context.now();
  HeldCall &Call = Found->second;
  Context.Figures.TargetLatency.add(Now - Call.Started);
  learn(Call, Result, Now);
  reportRun(Call, Result, Now);
  const bool GivenUp = Result.Failure == RunFailure::TimedOut ||
                       Result.Failure == RunFailure::Cancelled;
  if (GivenUp)
    Abandoned.push_back(Now + AbandonedRunHold);
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
    onAnswer(Id, refusal(GivenUp ? GatewayTimeout : BadGateway, Result.Reason,
                         Result.Failure == RunFailure::Unusable
                             ? Outcome::Ran
                             : Outcome::Unknown));
  }
  if (Result.Failure == RunFailure::NotReached)
    goDown();
  if (Result.Reason == ResultCode::TargetMistaken)
    onMistaken();
  setState();
  pump();
}

void TargetSide::reportRun(const HeldCall &Call, const RunResult &Result,
                           TimeMs Now) const {
  Context.report(
      EventId::RunEnded,
      {{"request", requestIdOf(Call.Request, Context.Self.Scheme)},
       {"organisation", Call.Request.Organisation},
       {"route", Call.Request.Route},
       {"target", Listed ? Listed->TargetId : Context.Self.Name},
       {"queued_ms", std::to_string((Call.Started - Call.Arrived).Value)},
       {"ran_ms", std::to_string((Now - Call.Started).Value)},
       {"status", std::to_string(Result.Answer ? Result.Answer->Status : 0)},
       {"reason", std::string(resultName(Result.Reason))}});
}

void TargetSide::learn(const HeldCall &Call, const RunResult &Result,
                       TimeMs Now) {
  const std::uint32_t Before = Limit.limit(Now);
  if (Result.Answer && Call.Epoch == Epoch)
    Evidence.onAnsweredRun();
  const bool Tells = Result.Failure != RunFailure::Cancelled &&
                     Result.Failure != RunFailure::NotSent;
  if (Result.Answer || Tells)
    Limit.onResult(Call.Request.Route, verdictOf(Result), Now - Call.Started,
                   InFlight, Now);
  const std::uint32_t After = Limit.limit(Now);
  if (After < Before) {
    Context.report(EventId::LimitReduced,
                   {{"target", Context.Self.Name},
                    {"limit", std::to_string(After)},
                    {"slots", std::to_string(Limit.slots())}});
  }
  if (Result.Answer && !Context.Guard.empty())
    Context.Guard.onSuccess(fingerprintOf(Call.Request));
}

void TargetSide::onAnswer(const CallId &Id, CallAnswer Answer) {
  if (Answer.Reason == ResultCode::Ok)
    Answer.Ran = Outcome::Ran;
  Ledger.finish(Id, encodeAnswer(Answer), Context.now());
  end(Id, describe(Id, 0));
}

void TargetSide::onBroken(const CallId &Id, HeldCall &Call, ResultCode Reason) {
  if (Call.Epoch == Epoch) {
    Call.BrokenBy = Reason;
    Evidence.onAbortedRun(Id);
  } else {
    // A run from before a crash that is known; its end came late.
    blame(Call);
    onAnswer(Id, refusal(BadGateway, Reason, Outcome::Unknown));
  }
  Suspended = true;
  probe();
}

void TargetSide::settleBroken(CrashVerdict Verdict) {
  const std::vector<CallId> Broken = Evidence.take();
  const bool Crashed = Verdict == CrashVerdict::Crashed;
  if (Crashed) {
    ++Context.Figures.Crashes;
    Context.report(EventId::TargetCrashed, {{"target", Context.Self.Name}});
    for (const CallId &Id : Broken)
      blame(Held.at(Id));
    ++Epoch;
  }
  // Answered after all are blamed, so that every reply carries the marks.
  for (const CallId &Id : Broken)
    onAnswer(Id, refusal(BadGateway, Held.at(Id).BrokenBy, Outcome::Unknown));
}

void TargetSide::blame(const HeldCall &Call) {
  // Every run that one crash broke off shares its id.
  const CrashId Crash =
      stableHash(fmt::format("{:x}/{}", Context.Self.Incarnation, Call.Epoch));
  const RequestFingerprint Request = fingerprintOf(Call.Request);
  if (Context.Guard.onCrash(Request, Crash, Context.now())) {
    Context.report(EventId::RequestQuarantined,
                   {{"target", Context.Self.Name},
                    {"organisation", Call.Request.Organisation},
                    {"route", Call.Request.Route},
                    {"call", Call.Request.Id.text()}});
  }
}

bool TargetSide::othersRun() const {
  return std::any_of(Held.begin(), Held.end(), [this](const auto &Item) {
    const HeldCall &Call = Item.second;
    return Call.Running && Call.BrokenBy == ResultCode::Ok &&
           Call.Epoch == Epoch;
  });
}

/// Another target has the address. Until the list says so, what came for the
/// one that is listed goes elsewhere; now and then a request finds out whether
/// the word was true.
void TargetSide::onMistaken() {
  MistakenUntil = Context.now() + MistakenTime;
  refuseAllQueued(ResultCode::TargetUnlisted);
}

void TargetSide::goDown() {
  if (!Down)
    NextProbe = Context.now() + Context.Settings.ProbeInterval;
  Down = true;
  Suspended = false;
  if (!Evidence.empty())
    settleBroken(CrashVerdict::Crashed);
  setState();
  refuseAllQueued(ResultCode::TargetDown);
}

void TargetSide::probe() {
  if (Probing)
    return;
  NextProbe = Context.now() + Context.Settings.ProbeInterval;
  Evidence.onProbeSent();
  if (!Context.Hooks.Target.Probe) {
    onProbe({true});
    return;
  }
  Probing = true;
  Context.Hooks.Target.Probe([this](const ProbeResult &Result) {
    Context.run([this, Result] {
      Probing = false;
      onProbe(Result);
    });
  });
}

void TargetSide::onProbe(const ProbeResult &Result) {
  if (!Result.Reachable) {
    goDown();
    return;
  }
  const CrashVerdict Verdict = Evidence.judge(Result.Reachable, othersRun());
  if (Verdict == CrashVerdict::ProbeAgain) {
    probe();
    return;
  }
  settleBroken(Verdict);
  // Runs from before the break that go on show that the target did not restart;
  // otherwise it has to be taken for cold.
  if (Down || Verdict != CrashVerdict::StillRunning)
    Limit.restartAfterLoss(Context.now());
  if (Result.ColdFor)
    setColdFor(*Result.ColdFor);
  else if (Down || Verdict == CrashVerdict::Crashed)
    setColdFor(SlowStart);
  Down = false;
  Suspended = false;
  setState();
  pump();
}

void TargetSide::releaseAbandoned(TimeMs Now) {
  while (!Abandoned.empty() && Abandoned.front() <= Now) {
    Abandoned.pop_front();
    --InFlight;
  }
}

} // namespace fescuewood
