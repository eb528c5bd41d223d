// Staging of request bodies at target nodes by EntrySide. EntrySide.cpp has the
// rest of the class.

#include "calls/EntrySide.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

/// Sends the request of a new attempt, or first its body if that is staged.
void EntrySide::sendBodyOrStart(CallHandle Handle, EntryCall &Call) {
  if (!usesStaging(Call)) {
    sendStart(Handle, Call);
    return;
  }
  Call.Current->Staging.emplace(Call.Request.Body.size());
  schedule(Handle, Call, Call.Deadline);
  sendBody(Handle, Call);
}

bool EntrySide::usesStaging(const EntryCall &Call) const {
  const std::size_t Bytes = Call.Request.Body.size();
  return Context.Settings.LinkMbps > 0 && !Call.Current->Address.empty() &&
         Bytes > BodyPieceBytes && Bytes <= MaxStagedBodyBytes &&
         Context.Settings.Retry == RetryMode::Fetch;
}

void EntrySide::sendBody(CallHandle Handle, EntryCall &Call) {
  while (const auto Range = Call.Current->Staging->next())
    sendBodyPiece(Handle, Call, *Range);
}

void EntrySide::sendBodyPiece(CallHandle Handle, const EntryCall &Call,
                              const BodyRange &Range) {
  const TimeMs Now = Context.now();
  const Attempt &Current = *Call.Current;
  const Link &Known = Links[Current.Address];
  CallBody Body;
  Body.Id = Current.Id;
  Body.Offset = Range.Offset;
  Body.TotalBytes = Call.Request.Body.size();
  Body.Piece = Call.Request.Body.substr(Range.Offset, Range.Bytes);
  Body.Recipient = Known.Incarnation;
  Body.Remaining = Call.Deadline - Now;
  Body.Route = Call.Request.Route;
  Body.Service = Call.Request.Service;
  Body.Idempotent = Call.Request.Idempotent;
  PeerRequest Message;
  Message.Address = Current.Address;
  Message.Kind = PeerKind::CallBody;
  Message.Body = encode(Body);
  Message.Timeout =
      std::clamp(Body.Remaining, DurationMs(1), Context.Settings.FetchTimeout);
  if (Call.UseFreshConnections || Known.FreshUntil > Now)
    Message.Route = PeerRoute::Fresh;
  const PeerRoute Route = Message.Route;
  Context.Hooks.Send(std::move(Message), [this, Handle, Id = Current.Id, Range,
                                          Route](const PeerReply &Reply) {
    Context.run([this, Handle, Id, Range, Reply, Route] {
      onBodyReply(Handle, Id, Range, Reply, Route);
    });
  });
}

void EntrySide::onBodyReply(CallHandle Handle, const CallId &Id,
                            const BodyRange &Range, const PeerReply &Reply,
                            PeerRoute Route) {
  EntryCall *Call = find(Handle, Id);
  if (!Call || !Call->Current->Staging)
    return;
  Attempt &Current = *Call->Current;
  const auto Decoded =
      Reply.Body ? decodeCallBodyReply(*Reply.Body) : std::nullopt;
  if (!Decoded) {
    onBodyUnanswered(Handle, *Call, Reply.Reason);
    return;
  }
  onHeard(targetLoad(Decoded->Load, Decoded->Reason, Decoded->RetryAfter),
          Reply.Sender, Current, Route);
  if (Decoded->Reason != ResultCode::Ok) {
    onRefused(Handle, *Call, Decoded->Reason, Decoded->RetryAfter);
    return;
  }
  Current.Staging->onReply(Range, Decoded->HeldBytes, Decoded->GrantedBytes);
  if (!Current.Staging->complete()) {
    sendBody(Handle, *Call);
    return;
  }
  Current.Staging.reset();
  Current.IsStaged = true;
  sendStart(Handle, *Call);
}

/// Handles a message about a body that was not replied to. The request has not
/// been sent, so it cannot have run.
void EntrySide::onBodyUnanswered(CallHandle Handle, EntryCall &Call,
                                 ResultCode Reason) {
  Attempt &Current = *Call.Current;
  const TimeMs Now = Context.now();
  // A node of an earlier version takes the body with the request.
  if (Reason == ResultCode::PeerKindUnknown) {
    Current.Staging.reset();
    sendStart(Handle, Call);
    return;
  }
  Links[Current.Address].FreshUntil = Now + FreshConnectionTime;
  Call.UseFreshConnections = true;
  Current.Staging->onLost();
  if (!Current.Staging->receiverSilent()) {
    sendBody(Handle, Call);
    return;
  }
  Targets.onSilent(Current.Target, Now);
  Context.report(EventId::CallUnanswered,
                 {{"call", Current.Id.text()}, {"target", Current.Target}});
  sendCancel(Current);
  onRefused(Handle, Call, ResultCode::TargetUnreachable);
}

} // namespace fescuewood
