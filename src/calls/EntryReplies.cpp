// Handling of replies from target nodes in EntrySide. EntryMessages.cpp sends
// the requests; EntrySide.cpp has the rest of the class.

#include "calls/EntrySide.h"
#include "calls/Refusals.h"
#include "policy/RetryRules.h"

#include <utility>

namespace fescuewood {

namespace {

/// Tolerance for the difference between two clocks over the age of an attempt:
/// 1 / DriftDivisor of the age, plus the resolution of both clocks.
constexpr std::int64_t DriftDivisor = 100;
constexpr DurationMs ClockResolution{2};

/// Whether a NeverSeen reply proves that the node never received the request:
/// the id is fenced and the ledger reaches back beyond the time of sending.
bool provesNeverSeen(const CallReply &Reply, DurationMs SinceSent) {
  const DurationMs Needed =
      SinceSent + DurationMs(SinceSent.Value / DriftDivisor) + ClockResolution;
  return Reply.Fenced && Reply.RetentionTime >= Needed;
}

} // namespace

void EntrySide::onStartReply(CallHandle Handle, const CallId &Id,
                             const PeerReply &Reply, PeerRoute Route) {
  EntryCall *Call = find(Handle, Id);
  if (!Call)
    return;
  Call->Current->StartPending = false;
  const auto Decoded = Reply.Body ? decodeCallReply(*Reply.Body) : std::nullopt;
  if (Decoded) {
    onReplyMetadata(*Decoded, Reply.Sender, *Call->Current, Route);
    onReply(Handle, *Call, *Decoded);
    return;
  }
  // The request may or may not have arrived; fetch its outcome.
  if (Context.Settings.Retry == RetryMode::Fetch &&
      !Call->Current->FetchPending)
    fetchOutcome(Handle, *Call, PeerRoute::Fresh);
}

void EntrySide::onFetchReply(CallHandle Handle, const CallFetch &Fetch,
                             const PeerReply &Reply, PeerRoute Route) {
  EntryCall *Call = find(Handle, Fetch.Id);
  if (!Call)
    return;
  const bool WasAhead = Call->Current->FetchedAhead.erase(Fetch.Offset) > 0;
  if (!WasAhead)
    Call->Current->FetchPending = false;
  const auto Decoded = Reply.Body ? decodeCallReply(*Reply.Body) : std::nullopt;
  if (Decoded)
    onReplyMetadata(*Decoded, Reply.Sender, *Call->Current, Route);
  if (Call->Current->AwaitingIncarnation) {
    onIncarnationReply(Handle, *Call, Decoded.has_value());
    return;
  }
  if (!Decoded) {
    // A piece that was fetched ahead is fetched again when it is the next one.
    if (!WasAhead)
      onFetchFailed(Handle, *Call);
    return;
  }
  Call->Current->UnansweredFetches = 0;
  Call->Current->HeardAt = Context.now();
  Call->Current->Silence.reset();
  onReply(Handle, *Call, *Decoded);
}

void EntrySide::onIncarnationReply(CallHandle Handle, EntryCall &Call,
                                   bool Answered) {
  Attempt &Current = *Call.Current;
  if (Answered) {
    Current.AwaitingIncarnation = false;
    sendBodyOrStart(Handle, Call);
    return;
  }
  // The request has not been sent, so it cannot have run. The connection may be
  // faulty.
  Link &Known = Links[Current.Address];
  const TimeMs Now = Context.now();
  if (Known.FreshUntil > Now || Call.UseFreshConnections)
    Targets.onSilent(Current.Target, Now);
  Known.FreshUntil = Now + FreshConnectionTime;
  Call.UseFreshConnections = true;
  onRefused(Handle, Call, ResultCode::TargetUnreachable);
}

void EntrySide::onReplyMetadata(const CallReply &Reply,
                                const PeerIdentity &Sender,
                                const Attempt &Source, PeerRoute Route) {
  Context.Guard.merge(Reply.Marks, Context.now());
  const bool IsRefused = Reply.State == CallState::Refused;
  onHeard(targetLoad(Reply.Load, IsRefused ? Reply.Reason : ResultCode::Ok,
                     Reply.RetryAfter),
          Sender, Source, Route);
}

/// Load of a target for the router. A refusal has no link delay, except for one
/// by the link.
TargetLoad EntrySide::targetLoad(const LoadReport &Report, ResultCode Refusal,
                                 DurationMs RetryAfter) {
  TargetLoad Load{Report.InFlight, Report.Queued, Report.Limit, Report.Latency,
                  Report.State};
  if (Refusal == ResultCode::Ok)
    Load.LinkDelay = Report.LinkDelay;
  else if (Refusal == ResultCode::LinkBusy)
    Load.LinkDelay = RetryAfter;
  return Load;
}

void EntrySide::onHeard(TargetLoad Load, const PeerIdentity &Sender,
                        const Attempt &Source, PeerRoute Route) {
  const TimeMs Now = Context.now();
  // What the own target exchanges with this node does not pass the link.
  if (Source.Address.empty())
    Load.LinkDelay.reset();
  Targets.onLoad(Source.Target, Load, Now);
  if (Source.Address.empty())
    return;
  Link &Known = Links[Source.Address];
  Known.Incarnation = Sender.Incarnation;
  if (Route != PeerRoute::Reuse)
    return;
  Known.LastReplyAt = Now;
  Known.FreshUntil = TimeMs(0);
}

void EntrySide::onReply(CallHandle Handle, EntryCall &Call,
                        const CallReply &Reply) {
  switch (Reply.State) {
  case CallState::Running: {
    Attempt &Current = *Call.Current;
    Current.Heartbeats = std::min(Current.Heartbeats + 1, MaxHeartbeatFactor);
    schedule(Handle, Call,
             Context.now() +
                 Context.Settings.HeartbeatInterval * Current.Heartbeats);
    return;
  }
  case CallState::Done:
    onDone(Handle, Call, Reply);
    return;
  case CallState::Refused:
    // A fence only proves that the call will not run from now on; it may have
    // run before.
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

void EntrySide::onFetchFailed(CallHandle Handle, EntryCall &Call) {
  Attempt &Current = *Call.Current;
  const TimeMs Now = Context.now();
  ++Current.UnansweredFetches;
  const bool HasAnswer = Current.Answer.offset() > 0;
  if (HasAnswer && Current.UnansweredFetches < MaxUnansweredPieces) {
    fetchOutcome(Handle, Call, PeerRoute::Fresh);
    return;
  }
  Targets.onSilent(Current.Target, Now);
  Call.SawSilence = true;
  Context.report(EventId::CallUnanswered,
                 {{"call", Current.Id.text()}, {"target", Current.Target}});
  moveOrWait(Handle, Call);
}

/// Another target that the call could run on; null if there is none.
const Instance *EntrySide::otherTarget(const EntryCall &Call) const {
  std::vector<std::string> Tried = Call.TriedTargets;
  Tried.push_back(Call.Current->Target);
  return Targets.pick(Call.Request.Service, Tried, Context.now(),
                      Context.Hooks.Random);
}

/// What decides on the silence of the call's node. Set once per silence, since
/// the pick of another target differs from time to time; std::nullopt as long
/// as there is no other target.
const std::optional<SilentAttempt> &EntrySide::silence(EntryCall &Call) const {
  Attempt &Current = *Call.Current;
  if (Current.Silence)
    return Current.Silence;
  if (const Instance *Next = otherTarget(Call))
    Current.Silence = {Current.HeardAt, Call.Deadline,
                       Targets.typicalAnswerTime(Next->Name, Context.now())};
  return Current.Silence;
}

/// Decides on the silence of the call's node. The other targets may have left
/// since it began.
SilenceVerdict EntrySide::judge(EntryCall &Call) const {
  const std::optional<SilentAttempt> &Silent = silence(Call);
  if (!Silent || !Call.Request.Idempotent || !otherTarget(Call))
    return SilenceVerdict::Keep;
  return judgeSilence(*Silent, Context.now());
}

/// Moves the call of a node that answers nothing, or keeps its run and fetches
/// the outcome again.
void EntrySide::moveOrWait(CallHandle Handle, EntryCall &Call) {
  const SilenceVerdict Verdict = judge(Call);
  if (Verdict == SilenceVerdict::Wait) {
    fetchOutcome(Handle, Call, PeerRoute::Fresh);
    return;
  }
  if (Verdict == SilenceVerdict::Move && claimRetry(Call, true)) {
    Call.MayHaveRun = true;
    failOver(Handle, Call, "node does not reply", RemoteWork::Kept);
    return;
  }
  schedule(Handle, Call, Context.now() + Context.Settings.HeartbeatInterval);
}

void EntrySide::onDone(CallHandle Handle, EntryCall &Call,
                       const CallReply &Reply) {
  Attempt &Current = *Call.Current;
  if (Reply.TotalBytes == 0) {
    refuse(Handle, Call, ResultCode::AnswerLost, Outcome::Ran);
    return;
  }
  const bool IsPaced = Reply.Piece.size() > ProbePieceBytes &&
                       Reply.Piece.size() < AnswerPieceBytes &&
                       Reply.Offset + Reply.Piece.size() < Reply.TotalBytes;
  if (IsPaced)
    Current.PieceBytes = Reply.Piece.size();
  const bool Added = Current.Answer.add(Reply);
  if (Added && !Current.Answer.complete()) {
    awaitRest(Handle, Call);
    return;
  }
  if (Added && Reply.TotalBytes > AnswerPieceBytes)
    sendCancel(Current); // The node need not keep the answer any longer.
  auto Answer = Added ? Current.Answer.answer() : std::nullopt;
  if (Answer)
    onAnswer(Handle, Call, std::move(*Answer));
  else
    refuse(Handle, Call, ResultCode::AnswerLost, Outcome::Ran);
}

/// Fetches the next piece of an incomplete answer, unless one is under way, and
/// those after it if the node sends small pieces.
void EntrySide::awaitRest(CallHandle Handle, EntryCall &Call) {
  Attempt &Current = *Call.Current;
  if (Current.FetchedAhead.erase(Current.Answer.offset()) > 0) {
    Current.FetchPending = true;
    schedule(Handle, Call, Context.now() + fetchTimeout(Call));
  }
  if (!Current.FetchPending && Current.StartPending) {
    schedule(Handle, Call, Context.now() + fetchTimeout(Call));
    return;
  }
  if (Current.Address.empty()) {
    fetchOutcome(Handle, Call, PeerRoute::Reuse);
    return;
  }
  if (!Current.FetchPending)
    fetchOutcome(Handle, Call, PeerRoute::Reuse);
  fetchAhead(Handle, Call);
}

void EntrySide::onAnswer(CallHandle Handle, EntryCall &Call,
                         CallAnswer Answer) {
  const bool AnswerUnusable = isUnusableAnswer(Answer.Reason);
  const bool TransientFailure =
      Answer.Reason == ResultCode::Ok && isTransientFailure(Answer.Status);
  if (Answer.Reason == ResultCode::TargetConnectionLost)
    ++Call.BrokenRuns;
  // The call may have crashed its targets; the limit bounds how many it can
  // take down.
  const bool CrashLimitReached = Call.BrokenRuns >= Context.Settings.CrashLimit;
  if (Call.Request.Idempotent && (AnswerUnusable || TransientFailure) &&
      !CrashLimitReached && claimRetry(Call, true)) {
    Call.MayHaveRun = true;
    Call.LastRefusal = Answer.Reason;
    if (TransientFailure) {
      Call.Fallback = std::move(Answer);
      Call.FallbackId = Call.Current->Id;
    }
    failOver(Handle, Call,
             AnswerUnusable ? "target returned no usable answer"
                            : "target answered with a transient failure",
             RemoteWork::Ended);
    return;
  }
  if (Answer.Reason == ResultCode::Ok)
    Budget.onSuccess();
  reportAnswer(Call, Call.Current->Id, Answer);
  finish(Handle, Call, std::move(Answer));
}

void EntrySide::reportAnswer(const EntryCall &Call, const CallId &Source,
                             const CallAnswer &Answer) const {
  reportEnd(
      EventId::CallAnswered, Call,
      {{"call", Source.text()}, {"status", std::to_string(Answer.Status)}},
      Answer.Reason, Answer.RequestOutcome);
}

/// Records a refusal that like calls would get as well. Only calls with large
/// payloads can be refused for lack of room on the link.
void EntrySide::rememberRefusal(const EntryCall &Call, ResultCode Reason,
                                DurationMs RetryAfter) {
  const CallProfile Refused =
      profileOf(Call, Call.Current->Target, Call.Current->SentAt);
  if (isLackOfTime(Reason))
    RefusedLately.add(Refused, RetryAfter, Context.now());
  else if (Reason == ResultCode::LinkBusy && Call.Request.HasLargePayload)
    RefusedByLinkLately.add(Refused, RetryAfter, Context.now());
}

void EntrySide::onRefused(CallHandle Handle, EntryCall &Call, ResultCode Reason,
                          DurationMs RetryAfter) {
  Call.LastRefusal = Reason;
  Call.RetryAfter = RetryAfter;
  rememberRefusal(Call, Reason, RetryAfter);
  Call.Current->MayBeDelivered = Reason == ResultCode::TargetRefused ||
                                 Reason == ResultCode::TargetMistaken;
  if (isFinal(Reason)) {
    refuse(Handle, Call, Reason, outcomeOfEarlierAttempts(Call));
    return;
  }
  // Each target would admit a share of its own, and all together more than the
  // called service has room for.
  const bool IsFutile = isSharedShortage(Reason) && !Call.Request.CanWait;
  if (!IsFutile && claimRetry(Call, !isFreeToRetry(Reason))) {
    failOver(Handle, Call, resultName(Reason), RemoteWork::Ended);
    return;
  }
  if (resumeKept(Handle, Call))
    return;
  refuse(Handle, Call, Reason, outcomeOfEarlierAttempts(Call));
}

void EntrySide::onNeverSeen(CallHandle Handle, EntryCall &Call,
                            const CallReply &Reply) {
  if (provesNeverSeen(Reply, Context.now() - Call.Current->SentAt)) {
    // The request was lost in transit: the node works, its connection does not.
    Links[Call.Current->Address].FreshUntil =
        Context.now() + FreshConnectionTime;
    Call.UseFreshConnections = true;
    onRefused(Handle, Call, ResultCode::CallFenced);
    return;
  }
  if (Call.Request.Idempotent && claimRetry(Call, true)) {
    Call.MayHaveRun = true;
    failOver(Handle, Call, "node has no record of the call",
             RemoteWork::MayContinue);
    return;
  }
  refuse(Handle, Call, ResultCode::CallForgotten, Outcome::Unknown);
}

} // namespace fescuewood
