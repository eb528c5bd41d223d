// The replies that an entry node gets about its calls, and what follows from
// each. EntryMessages.cpp sends, EntrySide.cpp holds the rest of the class.

#include "calls/EntrySide.h"
#include "calls/Refusals.h"

#include <utility>

namespace fescuewood {

namespace {

/// What two clocks may differ over the span that a ledger is asked for: one
/// part in a hundred and the resolution of both.
constexpr std::int64_t DriftDivisor = 100;
constexpr DurationMs ClockResolution{2};

/// Whether an id that a ledger does not hold cannot have been there before.
bool provesNeverSeen(const CallReply &Reply, DurationMs SinceSent) {
  const DurationMs Needed =
      SinceSent + DurationMs(SinceSent.Value / DriftDivisor) + ClockResolution;
  return Reply.Fenced && Reply.RetentionTime >= Needed;
}

TargetLoad loadOf(const LoadReport &Report) {
  return {Report.InFlight, Report.Queued, Report.Limit, Report.Latency,
          Report.State};
}

/// Whether a refusal says nothing about load, so that moving on is free.
bool movesFreely(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::TargetDraining:
  case ResultCode::TargetDown:
  case ResultCode::TargetUnreachable:
  case ResultCode::DomainOut:
  case ResultCode::TargetUnlisted:
  case ResultCode::NoTargetAvailable:
  case ResultCode::CallFenced:
    return true;
  default:
    return false;
  }
}

/// Whether a run ended without an answer that can be passed on, so that another
/// target may do better.
bool isBroken(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::TargetConnectionLost:
  case ResultCode::TargetAnswerForeign:
  case ResultCode::TargetAnswerUnproven:
  case ResultCode::TargetAnswerMalformed:
    return true;
  default:
    return false;
  }
}

/// Whether a target's own answer may be a passing fault of that target.
bool mayPass(int Status) {
  constexpr int InternalError = 500;
  constexpr int BadGateway = 502;
  return Status == ServiceUnavailable || Status == InternalError ||
         Status == BadGateway;
}

/// Whether a refusal holds for every target alike.
bool isFinal(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::RequestCrashesTargets:
  case ResultCode::KeyWithdrawn:
  case ResultCode::CallerGone:
  case ResultCode::TargetRequestInvalid:
    return true;
  default:
    return false;
  }
}

} // namespace

void EntrySide::onStartReply(CallHandle Handle, const CallId &Id,
                             const PeerReply &Reply, PeerRoute Route) {
  EntryCall *Call = find(Handle, Id);
  if (!Call)
    return;
  const auto Decoded = Reply.Body ? decodeCallReply(*Reply.Body) : std::nullopt;
  if (Decoded) {
    hear(*Decoded, Reply.From, *Call->Present, Route);
    onReply(Handle, *Call, *Decoded);
    return;
  }
  // Whether the request arrived is not known; a question tells.
  if (Context.Settings.Retry == RetryMode::Fetch && !Call->Present->Asking)
    ask(Handle, *Call, PeerRoute::Fresh);
}

void EntrySide::onFetchReply(CallHandle Handle, const CallId &Id,
                             const PeerReply &Reply, PeerRoute Route) {
  EntryCall *Call = find(Handle, Id);
  if (!Call)
    return;
  Call->Present->Asking = false;
  const auto Decoded = Reply.Body ? decodeCallReply(*Reply.Body) : std::nullopt;
  if (Decoded)
    hear(*Decoded, Reply.From, *Call->Present, Route);
  if (Call->Present->Greeting) {
    onGreeted(Handle, *Call, Decoded.has_value());
    return;
  }
  if (!Decoded) {
    onNoReply(Handle, *Call);
    return;
  }
  Call->Present->Unanswered = 0;
  onReply(Handle, *Call, *Decoded);
}

void EntrySide::onGreeted(CallHandle Handle, EntryCall &Call, bool Answered) {
  Attempt &Present = *Call.Present;
  if (Answered) {
    Present.Greeting = false;
    sendStart(Handle, Call);
    return;
  }
  // Nothing was sent that could run. The connection may be at fault.
  Link &Known = Links[Present.Address];
  const TimeMs Now = Context.now();
  if (Known.FreshUntil > Now || Call.MetSilence)
    Targets.onSilent(Present.Target, Now);
  Known.FreshUntil = Now + FreshConnectionTime;
  Call.MetSilence = true;
  onRefused(Handle, Call, ResultCode::TargetUnreachable);
}

void EntrySide::hear(const CallReply &Reply, const PeerIdentity &Sender,
                     const Attempt &From, PeerRoute Route) {
  const TimeMs Now = Context.now();
  Targets.onLoad(From.Target, loadOf(Reply.Load), Now);
  Context.Guard.merge(Reply.Marks, Now);
  if (From.Address.empty())
    return;
  Link &Known = Links[From.Address];
  Known.Incarnation = Sender.Incarnation;
  if (Route != PeerRoute::Reuse)
    return;
  Known.Heard = Now;
  Known.FreshUntil = TimeMs(0);
}

void EntrySide::onReply(CallHandle Handle, EntryCall &Call,
                        const CallReply &Reply) {
  switch (Reply.State) {
  case CallState::Running: {
    Attempt &Present = *Call.Present;
    Present.Heartbeats = std::min(Present.Heartbeats + 1, MaxHeartbeatFactor);
    schedule(Handle, Call,
             Context.now() +
                 Context.Settings.HeartbeatInterval * Present.Heartbeats);
    return;
  }
  case CallState::Done:
    onDone(Handle, Call, Reply);
    return;
  case CallState::Refused:
    // A fence proves only that the call will not run from now on.
    if (Reply.Reason == ResultCode::CallFenced)
      onNeverSeen(Handle, Call, Reply);
    else
      onRefused(Handle, Call, Reply.Reason, Reply.RetryAfter);
    return;
  case CallState::NeverSeen:
    onNeverSeen(Handle, Call, Reply);
    return;
  }
}

void EntrySide::onNoReply(CallHandle Handle, EntryCall &Call) {
  Attempt &Present = *Call.Present;
  const TimeMs Now = Context.now();
  ++Present.Unanswered;
  Targets.onSilent(Present.Target, Now);
  Context.report(EventId::CallUnanswered,
                 {{"call", Present.Id.text()}, {"target", Present.Target}});
  if (Call.Request.Idempotent && mayMove(Call, true)) {
    Call.MayHaveRun = true;
    ++Call.Offers;
    move(Handle, Call, "its node does not answer", Leaving::Unsettled);
    return;
  }
  schedule(Handle, Call, Now + Context.Settings.HeartbeatInterval);
}

void EntrySide::onDone(CallHandle Handle, EntryCall &Call,
                       const CallReply &Reply) {
  Attempt &Present = *Call.Present;
  if (Reply.TotalBytes == 0) {
    refuse(Handle, Call, ResultCode::AnswerLost, Outcome::Ran);
    return;
  }
  const bool Added = Present.Answer.add(Reply);
  if (Added && !Present.Answer.complete()) {
    if (!Present.Asking)
      ask(Handle, Call, PeerRoute::Reuse);
    return;
  }
  auto Answer = Added ? Present.Answer.answer() : std::nullopt;
  if (Answer)
    onAnswer(Handle, Call, std::move(*Answer));
  else
    refuse(Handle, Call, ResultCode::AnswerLost, Outcome::Ran);
}

void EntrySide::onAnswer(CallHandle Handle, EntryCall &Call,
                         CallAnswer Answer) {
  ++Call.Offers;
  const bool Broken = isBroken(Answer.Reason);
  const bool Shed = Answer.Reason == ResultCode::Ok && mayPass(Answer.Status);
  if (Answer.Reason == ResultCode::TargetConnectionLost)
    ++Call.BrokenRuns;
  // Whatever broke its runs off, one call does not take down more targets.
  const bool TooRisky = Call.BrokenRuns >= Context.Settings.CrashLimit;
  if (Call.Request.Idempotent && (Broken || Shed) && !TooRisky &&
      mayMove(Call, true)) {
    Call.MayHaveRun = true;
    Call.LastRefusal = Answer.Reason;
    if (Shed)
      Call.Fallback = std::move(Answer);
    move(Handle, Call, Broken ? "its target broke off" : "its target sheds",
         Leaving::Settled);
    return;
  }
  if (Answer.Reason == ResultCode::Ok)
    Budget.onSuccess();
  reportAnswer(Call, Answer);
  finish(Handle, Call, std::move(Answer));
}

void EntrySide::reportAnswer(const EntryCall &Call,
                             const CallAnswer &Answer) const {
  reportEnd(EventId::CallAnswered, Call,
            {"status", std::to_string(Answer.Status)}, Answer.Reason,
            Answer.Ran);
}

void EntrySide::onRefused(CallHandle Handle, EntryCall &Call, ResultCode Reason,
                          DurationMs RetryAfter) {
  Call.LastRefusal = Reason;
  Call.RetryAfter = RetryAfter;
  if (Reason == ResultCode::TargetRefused ||
      Reason == ResultCode::TargetMistaken)
    ++Call.Offers;
  if (isFinal(Reason)) {
    refuse(Handle, Call, Reason, unrun(Call));
    return;
  }
  if (mayMove(Call, !movesFreely(Reason))) {
    move(Handle, Call, resultName(Reason), Leaving::Settled);
    return;
  }
  refuse(Handle, Call, Reason, unrun(Call));
}

void EntrySide::onNeverSeen(CallHandle Handle, EntryCall &Call,
                            const CallReply &Reply) {
  if (provesNeverSeen(Reply, Context.now() - Call.Present->SentAt)) {
    // The request was lost on its way: the node is well, its connection not.
    Links[Call.Present->Address].FreshUntil =
        Context.now() + FreshConnectionTime;
    Call.MetSilence = true;
    onRefused(Handle, Call, ResultCode::CallFenced);
    return;
  }
  if (Call.Request.Idempotent && mayMove(Call, true)) {
    Call.MayHaveRun = true;
    move(Handle, Call, "its node has forgotten it", Leaving::Unsettled);
    return;
  }
  refuse(Handle, Call, ResultCode::CallForgotten, Outcome::Unknown);
}

} // namespace fescuewood
