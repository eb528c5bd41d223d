// The messages that an entry node sends about its calls. EntryReplies.cpp holds
// what their replies lead to, EntrySide.cpp the rest of the class.

#include "calls/EntrySide.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

void EntrySide::begin(CallHandle Handle, EntryCall &Call,
                      const Instance &Target) {
  const TimeMs Now = Context.now();
  ++Call.Attempts;
  Attempt &Present = Call.Present.emplace();
  Present.Id = {Context.Self.Incarnation, NextSequence++};
  Present.Target = Target.Name;
  Present.SentAt = Now;
  const bool IsLocal = Target.Name == Context.Self.Name;
  if (!IsLocal)
    Present.Address = Target.PeerAddress;
  Targets.onSent(Target.Name);
  // A request that must not run twice is bound to one process of the node, so
  // that no copy of it can run in the next one. A node that was silent is asked
  // first too: a question that is lost leaves nothing unknown.
  const bool Known = IsLocal || (Links[Present.Address].Incarnation != 0 &&
                                 !Targets.isSuspected(Present.Target));
  if (Known || Call.Request.Idempotent)
    sendStart(Handle, Call);
  else
    greet(Handle, Call);
}

void EntrySide::greet(CallHandle Handle, EntryCall &Call) {
  Attempt &Present = *Call.Present;
  Present.Greeting = true;
  Present.Asking = true;
  schedule(Handle, Call, Context.now() + Context.Settings.HeartbeatInterval);
  CallFetch Fetch;
  Fetch.Id = Present.Id;
  const bool Doubted =
      Call.MetSilence || Links[Present.Address].FreshUntil > Context.now();
  sendFetch(Handle, Present, Fetch,
            Doubted ? PeerRoute::Fresh : PeerRoute::Reuse,
            Context.Settings.HeartbeatInterval);
}

void EntrySide::sendStart(CallHandle Handle, EntryCall &Call) {
  const TimeMs Now = Context.now();
  Attempt &Present = *Call.Present;
  Present.SentAt = Now;
  const bool IsLocal = Present.Address.empty();
  CallStart Start;
  Start.Recipient =
      IsLocal ? Context.Self.Incarnation : Links[Present.Address].Incarnation;
  Start.Request = Call.Request;
  Start.Request.Id = Present.Id;
  Start.Request.Remaining = Call.Deadline - Now;
  Start.Marks = Context.Guard.encode(Now);
  schedule(Handle, Call, Now + patience(Present));
  if (IsLocal) {
    Local.Start(std::move(Start),
                [this, Handle, Id = Present.Id](const CallReply &Reply) {
                  Context.run([this, Handle, Id, Reply] {
                    if (EntryCall *Known = find(Handle, Id)) {
                      hear(Reply, {}, *Known->Present, PeerRoute::Fresh);
                      onReply(Handle, *Known, Reply);
                    }
                  });
                });
    return;
  }
  PeerRequest Message;
  Message.Address = Present.Address;
  Message.Kind = PeerKind::CallStart;
  Message.Body = encode(Start);
  Message.Timeout = Call.Deadline + AnswerGrace - Now;
  if (Call.MetSilence || Links[Present.Address].FreshUntil > Now)
    Message.Route = PeerRoute::Fresh;
  const PeerRoute Route = Message.Route;
  Context.Hooks.Send(std::move(Message), [this, Handle, Id = Present.Id,
                                          Route](const PeerReply &Reply) {
    Context.run([this, Handle, Id, Reply, Route] {
      onStartReply(Handle, Id, Reply, Route);
    });
  });
}

DurationMs EntrySide::patience(const Attempt &Present) const {
  const DurationMs Interval = Context.Settings.HeartbeatInterval;
  if (Context.Settings.Retry == RetryMode::Plain)
    return Interval * MaxHeartbeatFactor;
  // A quick target's silence is noticed sooner; one question more is cheap.
  const DurationMs Usual =
      Targets.typicalAnswerTime(Present.Target, Context.now());
  return std::clamp(Usual * PatienceFactor, std::min(LeastPatience, Interval),
                    Interval);
}

void EntrySide::ask(CallHandle Handle, EntryCall &Call, PeerRoute Route) {
  Attempt &Present = *Call.Present;
  const TimeMs Now = Context.now();
  ++Context.Figures.Fetches;
  CallFetch Fetch;
  Fetch.Id = Present.Id;
  Fetch.Offset = Present.Answer.offset();
  Fetch.Fence = true;
  Present.Asking = true;
  schedule(Handle, Call, Now + Context.Settings.FetchTimeout);
  if (Present.Address.empty()) {
    const CallReply Reply = Local.Fetch(Fetch);
    Present.Asking = false;
    onReply(Handle, Call, Reply);
    return;
  }
  // A connection that was heard of a moment ago need not be doubted.
  const Link &Known = Links[Present.Address];
  const bool Alive = Now - Known.Heard < Context.Settings.HeartbeatInterval &&
                     Known.Heard >= Present.SentAt && Present.Unanswered == 0;
  sendFetch(Handle, Present, Fetch, Alive ? PeerRoute::Reuse : Route,
            Context.Settings.FetchTimeout);
}

void EntrySide::sendFetch(CallHandle Handle, const Attempt &Present,
                          const CallFetch &Fetch, PeerRoute Route,
                          DurationMs Timeout) {
  PeerRequest Message;
  Message.Address = Present.Address;
  Message.Kind = PeerKind::CallFetch;
  Message.Body = encode(Fetch);
  Message.Timeout = Timeout;
  Message.Route = Route;
  Context.Hooks.Send(std::move(Message), [this, Handle, Id = Present.Id,
                                          Route](const PeerReply &Reply) {
    Context.run([this, Handle, Id, Reply, Route] {
      onFetchReply(Handle, Id, Reply, Route);
    });
  });
}

void EntrySide::tellCancelled(const Attempt &Gone) {
  const CallCancel Cancel{Gone.Id};
  if (Gone.Address.empty()) {
    Local.Cancel(Cancel);
    return;
  }
  PeerRequest Message;
  Message.Address = Gone.Address;
  Message.Kind = PeerKind::CallCancel;
  Message.Body = encode(Cancel);
  Message.Timeout = Context.Settings.FetchTimeout;
  Context.Hooks.Send(std::move(Message), [](const PeerReply &) {});
}

} // namespace fescuewood
