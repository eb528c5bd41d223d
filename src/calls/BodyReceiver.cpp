#include "calls/BodyReceiver.h"

#include "nodes/PeerTraffic.h"
#include "policy/AnswerMemory.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

/// Time in which the first grant of a body passes the link: the longest time
/// between two runs of \ref BodyReceiver::tick and a round trip. A smaller
/// window leaves a fast link idle: two pieces in that time are 26 Mbit/s.
constexpr DurationMs WindowTime{10};

/// Least pieces of the first grant on an idle link. With two under way, the
/// next piece is granted before the last one has arrived, so that one transfer
/// alone fills a slow link.
constexpr std::size_t IdleWindowPieces = 2;

/// Pieces of the first grant over a link without a rate.
constexpr std::size_t UnlimitedWindowPieces = 16;

/// Time that a body must arrive before its call has to run: late turns, a round
/// trip, and the start.
constexpr DurationMs StartMargin{30};

/// Backlog up to which the link counts as idle: some small messages.
constexpr DurationMs IdleBacklog{2};

} // namespace

BodyReceiver::BodyReceiver(CallContext &Context, BodyReceiverHooks Hooks)
    : Context(Context), Hooks(std::move(Hooks)),
      Link(linkBytesPerMs(Context.Settings.scheduledMbps())),
      Bodies(answerMemoryLimit(Context.Settings.MaxQueueBytes,
                               Context.Settings.AnswerMemoryShare,
                               Context.Identity.MachineBytes)) {}

void BodyReceiver::receive(const CallBody &Message, ReplyHook OnReply) {
  const CallId Id = Message.Id;
  const TimeMs Now = Context.now();
  if (!Bodies.find(Id)) {
    const BodyRefusal Refusal = open(Message);
    if (Refusal.Reason != ResultCode::Ok) {
      refuse(Refusal, OnReply);
      return;
    }
  }
  Transfer &Open = Transfers[Id];
  Open.Replies.push_back({std::move(OnReply), Now + MaxGrantDelay});
  if (Bodies.add(Id, Message.Offset, Message.TotalBytes, Message.Piece, Now) ==
      PieceResult::Contradicting) {
    drop(Id);
    return;
  }
  proceed(Id);
  Link.release(Now);
}

/// Opens the body of a call that is not known yet. A node that has lost what it
/// held before does not accept the rest.
BodyRefusal BodyReceiver::open(const CallBody &Message) {
  if (!isForThisProcess(Message) || Hooks.IsKnown(Message.Id) ||
      Message.Offset > 0 || !Message.Piece.empty())
    return {ResultCode::StagedBodyMissing};
  CallRequest Request;
  Request.Id = Message.Id;
  Request.Route = Message.Route;
  Request.Service = Message.Service;
  Request.Idempotent = Message.Idempotent;
  Request.Remaining = Message.Remaining;
  const BodyRefusal Refusal = Hooks.Refusal(Request);
  if (Refusal.Reason != ResultCode::Ok)
    return Refusal;
  if (const BodyRefusal ByLink = refusalByLink(Message);
      ByLink.Reason != ResultCode::Ok)
    return ByLink;
  const TimeMs Now = Context.now();
  if (!Bodies.open(Message.Id, Message.TotalBytes, Now + Message.Remaining,
                   Now))
    return {ResultCode::BodyMemoryFull, timeToReceive(0)};
  return {};
}

bool BodyReceiver::isForThisProcess(const CallBody &Message) const {
  return Message.Recipient == Context.Identity.Incarnation ||
         (Message.Recipient == 0 && Message.Idempotent);
}

/// Refuses a body that would arrive too late to be used. A burst may use all
/// the time until the deadline. Once the link has been busy for as long as the
/// objective of the route, a backlog as long as the deadline would make every
/// request late; then only bodies within the objective are accepted.
BodyRefusal BodyReceiver::refusalByLink(const CallBody &Message) const {
  const TimeMs Now = Context.now();
  DurationMs Left = Message.Remaining;
  const Route *MatchedRoute =
      Context.Config ? Context.Config->findRouteByName(Message.Route) : nullptr;
  if (MatchedRoute && MatchedRoute->Objective > DurationMs(0) &&
      Link.busyFor(Now) >= MatchedRoute->Objective)
    Left = std::min(Left, MatchedRoute->Objective);
  // The queue lets no call start for which less time is left.
  const DurationMs Needed = timeToReceive(Message.TotalBytes) + StartMargin +
                            Hooks.RunTime(Message.Route) * 2;
  if (!Link.limited() || Needed <= Left)
    return {};
  return {ResultCode::LinkBusy, timeToReceive(0)};
}

/// Time until all bodies and \p Bytes more have been received.
DurationMs BodyReceiver::timeToReceive(std::size_t Bytes) const {
  const std::size_t Later = Bodies.ungrantedBytes() - QueuedBytes;
  return Link.timeToSend(wireBytes(Later + Bytes), Context.now());
}

/// Pieces of the first grant of a body; they remain under way until its end.
std::size_t BodyReceiver::windowPieces() const {
  if (!Link.limited())
    return UnlimitedWindowPieces;
  const double WindowBytes = linkBytesPerMs(Context.Settings.scheduledMbps()) *
                             static_cast<double>(WindowTime.Value);
  const auto Pieces = static_cast<std::size_t>(
      std::ceil(WindowBytes / static_cast<double>(BodyPieceBytes)));
  const bool IsIdle = Link.queuedTransfers() == 0 &&
                      Link.timeToSend(0, Context.now()) <= IdleBacklog;
  return std::max(Pieces, IsIdle ? IdleWindowPieces : 1);
}

/// Replies to what need not wait and queues turns for the rest.
void BodyReceiver::proceed(const CallId &Id) {
  Transfer &Open = Transfers.at(Id);
  const StagedBody &Body = *Bodies.find(Id);
  if (Body.GrantedBytes == Body.TotalBytes) {
    while (!Open.Replies.empty())
      replyToOldest(Id, Open);
    return;
  }
  if (Body.GrantedBytes > Open.AnnouncedBytes)
    replyToOldest(Id, Open);
  queueTurns(Id, Open);
}

void BodyReceiver::queueTurns(const CallId &Id, Transfer &Open) {
  const StagedBody &Body = *Bodies.find(Id);
  std::size_t Ungranted = Body.TotalBytes - Body.GrantedBytes;
  for (const auto &[Turn, Bytes] : Open.Turns)
    Ungranted -= Bytes;
  const TimeMs Now = Context.now();
  while (Open.Turns.size() < Open.Replies.size() && Ungranted > 0) {
    const bool IsFirst = Body.GrantedBytes == 0 && Open.Turns.empty();
    const std::size_t Pieces = IsFirst ? windowPieces() : 1;
    const std::size_t Bytes = std::min(Pieces * BodyPieceBytes, Ungranted);
    const LinkTransferId Turn = Link.add(
        wireBytes(Bytes), Body.Deadline,
        [this, Id, Bytes] { onTurn(Id, Bytes); }, Now);
    Open.Turns.emplace_back(Turn, Bytes);
    QueuedBytes += Bytes;
    Ungranted -= Bytes;
  }
}

/// The turns of a body have one deadline, so they come in order.
void BodyReceiver::onTurn(const CallId &Id, std::size_t Bytes) {
  Transfer &Open = Transfers.at(Id);
  Open.Turns.pop_front();
  QueuedBytes -= Bytes;
  Bodies.grant(Id, Bytes);
  if (!Open.Replies.empty())
    replyToOldest(Id, Open);
}

void BodyReceiver::replyToOldest(const CallId &Id, Transfer &Open) {
  const StagedBody &Body = *Bodies.find(Id);
  CallBodyReply Reply;
  Reply.HeldBytes = Body.Bytes.size();
  Reply.GrantedBytes = Body.GrantedBytes;
  Reply.Load = Hooks.Load();
  Open.AnnouncedBytes = Body.GrantedBytes;
  const ReplyHook OnReply = std::move(Open.Replies.front().OnReply);
  Open.Replies.pop_front();
  OnReply(encode(Reply));
}

void BodyReceiver::refuse(const BodyRefusal &Refusal,
                          const ReplyHook &OnReply) const {
  CallBodyReply Reply;
  Reply.Reason = Refusal.Reason;
  Reply.RetryAfter = Refusal.RetryAfter;
  Reply.Load = Hooks.Load();
  OnReply(encode(Reply));
}

ClaimedBody BodyReceiver::claim(bool IsStaged, CallRequest &Request) {
  if (IsStaged) {
    const StagedBody *Staged = Bodies.find(Request.Id);
    const TimeMs Now = Context.now();
    const DurationMs StagedFor = Now - (Staged ? Staged->OpenedAt : Now);
    auto Body = Bodies.take(Request.Id);
    drop(Request.Id);
    if (!Body)
      return {ResultCode::StagedBodyMissing};
    Request.Body = std::move(*Body);
    return {ResultCode::Ok, Request.Body.size(), StagedFor};
  }
  const std::size_t Bytes = Request.Body.size();
  if (!Link.limited() || Bytes <= BodyPieceBytes)
    return {};
  if (!Bodies.reserve(Bytes))
    return {ResultCode::BodyMemoryFull};
  return {ResultCode::Ok, Bytes};
}

void BodyReceiver::drop(const CallId &Id) {
  Bodies.drop(Id);
  auto Dropped = Transfers.extract(Id);
  if (Dropped.empty())
    return;
  for (const auto &[Turn, Bytes] : Dropped.mapped().Turns) {
    Link.remove(Turn);
    QueuedBytes -= Bytes;
  }
  for (const Waiting &Each : Dropped.mapped().Replies)
    refuse({ResultCode::StagedBodyMissing}, Each.OnReply);
}

void BodyReceiver::onReceived(std::size_t Bytes) {
  if (Link.limited())
    Link.onSent(wireBytes(Bytes), Context.now());
}

void BodyReceiver::tick() {
  const TimeMs Now = Context.now();
  for (const CallId &Id : Bodies.expire(Now))
    drop(Id);
  Link.release(Now);
  for (auto &[Id, Open] : Transfers)
    while (!Open.Replies.empty() && Open.Replies.front().AnswerBy <= Now)
      replyToOldest(Id, Open);
}

void BodyReceiver::fill(CallStatus &Status) const {
  Status.StagedBodies = Bodies.size();
  Status.BodyBytes = Bodies.reservedBytes();
  Status.BodyLimit = Bodies.limit();
}

} // namespace fescuewood
