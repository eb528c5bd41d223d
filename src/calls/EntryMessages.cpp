// Messages that EntrySide sends to target nodes. EntryReplies.cpp handles the
// replies; EntrySide.cpp has the rest of the class.

#include "calls/EntrySide.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

void EntrySide::startAttempt(CallHandle Handle, EntryCall &Call,
                             const Instance &Target) {
  const TimeMs Now = Context.now();
  ++Call.Attempts;
  Attempt &Current = Call.Current.emplace();
  Current.Id = {Context.Process, NextSequence++};
  Current.Target = Target.Name;
  Current.SentAt = Now;
  Current.HeardAt = Now;
  const bool IsLocal = Target.Name == Context.Identity.Name;
  if (!IsLocal)
    Current.Address = Target.PeerAddress;
  Targets.onSent(Target.Name);
  // A non-idempotent request names the incarnation of the node that may run it,
  // so that no copy of it runs after a restart. The incarnation is also fetched
  // first if the node is suspect: a lost fetch, unlike a lost request, leaves
  // no unknown outcome.
  const bool Known = IsLocal || (Links[Current.Address].Incarnation != 0 &&
                                 !Targets.isSuspected(Current.Target));
  if (Known || Call.Request.Idempotent)
    sendBodyOrStart(Handle, Call);
  else
    queryIncarnation(Handle, Call);
}

void EntrySide::queryIncarnation(CallHandle Handle, EntryCall &Call) {
  Attempt &Current = *Call.Current;
  Current.AwaitingIncarnation = true;
  Current.FetchPending = true;
  schedule(Handle, Call, Context.now() + Context.Settings.HeartbeatInterval);
  CallFetch Fetch;
  Fetch.Id = Current.Id;
  const bool IsConnectionSuspect =
      Call.UseFreshConnections ||
      Links[Current.Address].FreshUntil > Context.now();
  sendFetch(Handle, Current, Fetch,
            IsConnectionSuspect ? PeerRoute::Fresh : PeerRoute::Reuse,
            Context.Settings.HeartbeatInterval);
}

void EntrySide::sendStart(CallHandle Handle, EntryCall &Call) {
  const TimeMs Now = Context.now();
  Attempt &Current = *Call.Current;
  Current.SentAt = Now;
  Current.HeardAt = Now;
  Current.MayBeDelivered = true;
  Current.StartPending = true;
  const bool IsLocal = Current.Address.empty();
  CallStart Start;
  Start.Recipient = IsLocal ? Context.Identity.Incarnation
                            : Links[Current.Address].Incarnation;
  Start.IsStaged = Current.IsStaged;
  Start.Request =
      Current.IsStaged ? copyWithoutBody(Call.Request) : Call.Request;
  Start.Request.Id = Current.Id;
  Start.Request.Remaining = Call.Deadline - Now;
  Start.Request.Age = Call.Request.Age + (Now - Call.SubmittedAt);
  Start.Marks = Context.Guard.encode(Now);
  schedule(Handle, Call, Now + firstFetchDelay(Current));
  if (IsLocal) {
    Local.Start(std::move(Start), [this, Handle,
                                   Id = Current.Id](const CallReply &Reply) {
      Context.run([this, Handle, Id, Reply] {
        if (EntryCall *Known = find(Handle, Id)) {
          Known->Current->StartPending = false;
          onReplyMetadata(Reply, {}, *Known->Current, PeerRoute::Fresh);
          onReply(Handle, *Known, Reply);
        }
      });
    });
    return;
  }
  PeerRequest Message;
  Message.Address = Current.Address;
  Message.Kind =
      Start.IsStaged ? PeerKind::CallStartStaged : PeerKind::CallStart;
  Message.Body = encode(Start);
  Message.Timeout = Call.Deadline + AnswerGrace - Now;
  if (Call.UseFreshConnections || Links[Current.Address].FreshUntil > Now)
    Message.Route = PeerRoute::Fresh;
  const PeerRoute Route = Message.Route;
  Context.Hooks.Send(std::move(Message), [this, Handle, Id = Current.Id,
                                          Route](const PeerReply &Reply) {
    Context.run([this, Handle, Id, Reply, Route] {
      onStartReply(Handle, Id, Reply, Route);
    });
  });
}

DurationMs EntrySide::firstFetchDelay(const Attempt &Current) const {
  const DurationMs Interval = Context.Settings.HeartbeatInterval;
  if (Context.Settings.Retry == RetryMode::Plain)
    return Interval * MaxHeartbeatFactor;
  // Detects a lost message to a fast target earlier, at the cost of an extra
  // fetch when the answer is merely late.
  const DurationMs TypicalAnswerTime =
      Targets.typicalAnswerTime(Current.Target, Context.now());
  return std::clamp(TypicalAnswerTime * FirstFetchFactor,
                    std::min(MinFirstFetchDelay, Interval), Interval);
}

void EntrySide::fetchOutcome(CallHandle Handle, EntryCall &Call,
                             PeerRoute Route) {
  Attempt &Current = *Call.Current;
  const TimeMs Now = Context.now();
  ++Context.Counters.Fetches;
  const CallFetch Fetch = outcomeFetch(Current);
  const DurationMs Timeout = fetchTimeout(Call);
  Current.FetchPending = true;
  schedule(Handle, Call, Now + Timeout);
  if (Current.Address.empty()) {
    const CallReply Reply = Local.Fetch(Fetch);
    Current.FetchPending = false;
    onReply(Handle, Call, Reply);
    return;
  }
  sendFetch(Handle, Current, Fetch, fetchRoute(Current, Route), Timeout);
}

/// The open connection if it delivered a reply since the request was sent,
/// otherwise \p Route.
PeerRoute EntrySide::fetchRoute(const Attempt &Current, PeerRoute Route) {
  const Link &Known = Links[Current.Address];
  const bool IsConnectionProven =
      Context.now() - Known.LastReplyAt < Context.Settings.HeartbeatInterval &&
      Known.LastReplyAt >= Current.SentAt && Current.UnansweredFetches == 0;
  return IsConnectionProven ? PeerRoute::Reuse : Route;
}

/// Fetches the pieces after the next one from a node that sends small pieces,
/// so that its link is not idle for a round trip after each of them. As many
/// bytes are under way as in one piece of a node that does not schedule.
void EntrySide::fetchAhead(CallHandle Handle, EntryCall &Call) {
  Attempt &Current = *Call.Current;
  if (Current.PieceBytes == 0 || Current.UnansweredFetches > 0)
    return;
  const std::uint64_t End = std::min(
      Current.Answer.totalBytes(), Current.Answer.offset() + AnswerPieceBytes);
  for (std::uint64_t Offset = Current.Answer.offset() + Current.PieceBytes;
       Offset < End; Offset += Current.PieceBytes) {
    if (Current.Answer.keepsAhead(Offset) ||
        !Current.FetchedAhead.insert(Offset).second)
      continue;
    ++Context.Counters.Fetches;
    CallFetch Fetch;
    Fetch.Id = Current.Id;
    Fetch.Offset = Offset;
    sendFetch(Handle, Current, Fetch, fetchRoute(Current, PeerRoute::Reuse),
              fetchTimeout(Call));
  }
}

CallFetch EntrySide::outcomeFetch(const Attempt &Current) const {
  CallFetch Fetch;
  Fetch.Id = Current.Id;
  Fetch.Offset = Current.Answer.offset();
  Fetch.Fence = true;
  if (Current.Address.empty())
    Fetch.MaxPieceBytes = MaxAnswerPieceBytes;
  else if (Current.StartPending && Fetch.Offset == 0)
    Fetch.MaxPieceBytes = ProbePieceBytes;
  return Fetch;
}

DurationMs EntrySide::fetchTimeout(EntryCall &Call) const {
  const Attempt &Current = *Call.Current;
  const DurationMs Timeout = Context.Settings.FetchTimeout;
  if (Current.Answer.offset() > 0)
    return Timeout * PieceTimeoutFactor;
  if (Current.UnansweredFetches == 0 || !Call.Request.Idempotent)
    return Timeout;
  // The last fetch before the call moves ends when it has to.
  const std::optional<SilentAttempt> &Silent = silence(Call);
  const TimeMs Now = Context.now();
  if (!Silent || moveTime(*Silent) <= Now)
    return Timeout;
  return std::min(Timeout, moveTime(*Silent) - Now);
}

void EntrySide::sendFetch(CallHandle Handle, const Attempt &Current,
                          const CallFetch &Fetch, PeerRoute Route,
                          DurationMs Timeout) {
  PeerRequest Message;
  Message.Address = Current.Address;
  Message.Kind = PeerKind::CallFetch;
  Message.Body = encode(Fetch);
  Message.Timeout = Timeout;
  Message.Route = Route;
  Context.Hooks.Send(std::move(Message),
                     [this, Handle, Fetch, Route](const PeerReply &Reply) {
                       Context.run([this, Handle, Fetch, Reply, Route] {
                         onFetchReply(Handle, Fetch, Reply, Route);
                       });
                     });
}

void EntrySide::sendCancel(const Attempt &Cancelled) {
  const CallCancel Cancel{Cancelled.Id};
  if (Cancelled.Address.empty()) {
    Local.Cancel(Cancel);
    return;
  }
  PeerRequest Message;
  Message.Address = Cancelled.Address;
  Message.Kind = PeerKind::CallCancel;
  Message.Body = encode(Cancel);
  Message.Timeout = Context.Settings.FetchTimeout;
  Context.Hooks.Send(std::move(Message), [](const PeerReply &) {});
}

} // namespace fescuewood
