#include "calls/CallCore.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

CallCore::CallCore(CallIdentity Identity, const CallSettings &Settings,
                   CallHooks Hooks, Clock Time)
    : Context(std::move(Identity), Settings, std::move(Hooks), std::move(Time)),
      Target(Context, {[this] { return Entries.joiningBytes(); },
                       [this](std::string_view Service) {
                         return Entries.hasOtherTarget(Service);
                       }}),
      Entries(Context,
              {[this](CallStart Start, const CallReplyHook &OnReply) {
                 Target.start(std::move(Start), OnReply);
               },
               [this](const CallFetch &Fetch) { return Target.fetch(Fetch); },
               [this](const CallCancel &Cancel) {
                 return Target.cancel(Cancel);
               }}) {
  if (Context.Settings.LinkMbps > 0)
    accountForMessages();
}

/// Messages of the entry side pass the same link as the replies, and the
/// replies to them pass it in the direction of the bodies for the target.
void CallCore::accountForMessages() {
  PeerSend Send = std::move(Context.Hooks.Send);
  Context.Hooks.Send = [this, Send = std::move(Send)](PeerRequest Message,
                                                      PeerReplyHook OnReply) {
    Target.onSentToPeer(Message.Body.size());
    Send(std::move(Message),
         [this, OnReply = std::move(OnReply)](PeerReply Reply) {
           if (Reply.Body)
             Target.onReceivedFromPeer(Reply.Body->size());
           OnReply(std::move(Reply));
         });
  };
}

void CallCore::submit(CallHandle Handle, CallRequest Request,
                      AnswerHook OnAnswer) {
  Context.run([this, Handle, Request = std::move(Request),
               OnAnswer = std::move(OnAnswer)]() mutable {
    Entries.submit(Handle, std::move(Request), std::move(OnAnswer));
  });
}

void CallCore::cancel(CallHandle Handle) {
  Context.run([this, Handle] { Entries.cancel(Handle); });
}

void CallCore::handlePeer(PeerKind Kind, std::string_view Body,
                          ReplyHook Reply) {
  Context.run([this, Kind, Body = std::string(Body), Reply = std::move(Reply)] {
    if (Kind != PeerKind::CallBody)
      Target.onReceivedFromPeer(Body.size());
    if (Kind == PeerKind::CallStart || Kind == PeerKind::CallStartStaged) {
      if (auto Start = decodeCallStart(Body)) {
        Start->IsStaged = Kind == PeerKind::CallStartStaged;
        Target.startForPeer(std::move(*Start), Reply);
        return;
      }
    } else if (Kind == PeerKind::CallFetch) {
      if (const auto Fetch = decodeCallFetch(Body)) {
        Target.fetchForPeer(*Fetch, Reply);
        return;
      }
    } else if (Kind == PeerKind::CallCancel) {
      if (const auto Cancel = decodeCallCancel(Body)) {
        Reply(encode(Target.cancel(*Cancel)));
        return;
      }
    } else if (Kind == PeerKind::CallBody) {
      if (const auto Piece = decodeCallBody(Body)) {
        Target.receiveBody(*Piece, Reply);
        return;
      }
    }
    Reply({});
  });
}

void CallCore::setSnapshot(SnapshotPtr Snapshot) {
  Context.run([this, Snapshot = std::move(Snapshot)]() mutable {
    Context.Config = std::move(Snapshot);
    if (!Context.Config)
      return;
    Entries.onConfig();
    Target.onConfig();
  });
}

void CallCore::setInstances(const std::vector<Instance> &Instances) {
  Context.run([this, &Instances] { Entries.setInstances(Instances); });
}

void CallCore::setOwnTarget(const std::optional<ListedInstance> &Listed) {
  Context.run([this, Listed] { Target.onListed(Listed); });
}

void CallCore::setOwnReport(const MemberListing &Report) {
  Context.run([this, Report] { Target.onReport(Report); });
}

void CallCore::setLeaving(TimeMs End) {
  Context.run([this, End] {
    Context.LeaveEnd = End;
    Target.onLeaving();
  });
}

void CallCore::setDraining(TimeMs End) {
  Context.run([this, End] {
    Context.DrainEnd = End;
    Target.onDraining();
  });
}

void CallCore::refuseWaiting() {
  Context.run([this] {
    Entries.refuseUnsent();
    Target.refuseWaiting();
  });
}

void CallCore::refuseAll() {
  Context.run([this] { Entries.refuseAll(); });
}

void CallCore::tick() {
  Context.run([this] {
    Entries.tick();
    Target.tick();
  });
}

TimeMs CallCore::nextDue() const {
  return std::min(Entries.nextDue(), Target.nextDue());
}

CallStatus CallCore::status() {
  CallStatus Status = Context.Counters;
  Entries.fill(Status);
  Target.fill(Status);
  return Status;
}

std::vector<RouterCandidate> CallCore::explain(std::string_view Service) const {
  return Entries.router().explain(Service, Context.now());
}

} // namespace fescuewood
