#include "calls/PacedReplies.h"

#include <algorithm>
#include <string>
#include <utility>

namespace fescuewood {

namespace {

/// Share of CallSettings::FetchTimeout after which a fetch that waits for its
/// turn is answered without a piece, so that its reply is in time.
constexpr std::int64_t DeferralDivisor = 2;

bool isLarge(const CallReply &Reply) {
  return Reply.Piece.size() > SmallMessageBytes;
}

} // namespace

PacedReplies::PacedReplies(CallContext &Context, FetchHook Fetch)
    : Context(Context), Fetch(std::move(Fetch)),
      Link(linkBytesPerMs(Context.Settings.scheduledMbps())) {}

void PacedReplies::reply(const CallId &Id, TimeMs Deadline,
                         const CallReply &Reply, ReplyHook OnReply) {
  if (!limited())
    track(Id, Deadline, Reply);
  if (!limited() || !isLarge(Reply)) {
    sendUnscheduled(Reply, OnReply);
    return;
  }
  transfer(Id, Deadline, Reply);
  // The entry node waits for this reply until the deadline and fetches
  // meanwhile.
  queue(Id, Reply, Never, std::move(OnReply));
}

void PacedReplies::reply(const CallFetch &Asked, ReplyHook OnReply) {
  if (!limited()) {
    const CallReply Reply = Fetch(Asked);
    track(Asked.Id, Context.now(), Reply);
    sendUnscheduled(Reply, OnReply);
    return;
  }
  CallFetch Bounded = Asked;
  Bounded.MaxPieceBytes = std::min<std::uint64_t>(
      Asked.MaxPieceBytes == 0 ? LinkPieceBytes : Asked.MaxPieceBytes,
      LinkPieceBytes);
  CallReply Reply = Fetch(Bounded);
  const TimeMs Now = Context.now();
  const auto Found = Transfers.find(Asked.Id);
  if (Found != Transfers.end())
    Found->second.UsedAt = Now;
  if (isLarge(Reply)) {
    transfer(Asked.Id, Now, Reply);
    const DurationMs Wait(Context.Settings.FetchTimeout.Value /
                          DeferralDivisor);
    queue(Asked.Id, Reply, Now + Wait, std::move(OnReply));
    return;
  }
  // The piece is on its way already, as a part of one that waits.
  if (Found != Transfers.end() && Found->second.Pieces.contains(Asked.Offset))
    Reply.Piece.clear();
  else if (Found != Transfers.end())
    Found->second.SentBytes =
        std::max(Found->second.SentBytes, Reply.Offset + Reply.Piece.size());
  sendUnscheduled(Reply, OnReply);
}

void PacedReplies::drop(const CallId &Id) {
  const auto Found = Transfers.find(Id);
  if (Found == Transfers.end())
    return;
  dropPieces(Id, Found->second);
  Transfers.erase(Found);
}

void PacedReplies::tick() {
  const TimeMs Now = Context.now();
  Link.release(Now);
  for (auto It = Transfers.begin(); It != Transfers.end();) {
    answerOverdue(It->first, It->second);
    if (It->second.Deadline + AnswerGrace > Now) {
      ++It;
      continue;
    }
    dropPieces(It->first, It->second);
    It = Transfers.erase(It);
  }
}

TimeMs PacedReplies::nextDue() const {
  TimeMs Next = Link.nextDue();
  for (const auto &[Id, Open] : Transfers) {
    Next = std::min(Next, Open.Deadline + AnswerGrace);
    for (const auto &[Offset, Waiting] : Open.Pieces)
      Next = std::min(Next, Waiting.AnswerBy);
  }
  return Next;
}

std::size_t PacedReplies::backlogBytes() const {
  return limited() ? Link.queuedBytes() + unfetchedBytes() : 0;
}

DurationMs PacedReplies::timeToSend(std::size_t Bytes) const {
  return Link.timeToSend(unfetchedBytes() + Bytes, Context.now());
}

PacedReplies::Transfer &PacedReplies::transfer(const CallId &Id,
                                               TimeMs Deadline,
                                               const CallReply &Reply) {
  const auto [Found, Added] = Transfers.try_emplace(Id);
  if (Added)
    Found->second.Deadline = Deadline;
  Found->second.TotalBytes = Reply.TotalBytes;
  Found->second.UsedAt = Context.now();
  return Found->second;
}

/// Records what a reply sends at once of an answer of several pieces.
void PacedReplies::track(const CallId &Id, TimeMs Deadline,
                         const CallReply &Reply) {
  const std::uint64_t End = Reply.Offset + Reply.Piece.size();
  if (!Transfers.contains(Id) && End >= Reply.TotalBytes)
    return;
  Transfer &Open = transfer(Id, Deadline, Reply);
  Open.SentBytes = std::max(Open.SentBytes, End);
}

/// Queues the piece of a reply. A piece that is asked for again keeps its turn,
/// but only the last one who asked gets it.
void PacedReplies::queue(const CallId &Id, const CallReply &Reply,
                         TimeMs AnswerBy, ReplyHook OnReply) {
  const TimeMs Now = Context.now();
  Transfer &Open = Transfers.at(Id);
  const std::uint64_t Offset = Reply.Offset;
  const auto Found = Open.Pieces.find(Offset);
  if (Found != Open.Pieces.end()) {
    Found->second.AnswerBy = AnswerBy;
    const ReplyHook Earlier =
        std::exchange(Found->second.OnReply, std::move(OnReply));
    sendEmpty(Id, Offset, Earlier);
    return;
  }
  const std::size_t Bytes = std::min(Reply.Piece.size(), LinkPieceBytes);
  const LinkTransferId Turn = Link.add(
      Bytes, Open.Deadline, [this, Id, Offset] { onTurn(Id, Offset); }, Now);
  Open.Pieces.emplace(Offset, Piece{std::move(OnReply), Turn, AnswerBy});
  Link.release(Now);
}

void PacedReplies::onTurn(const CallId &Id, std::uint64_t Offset) {
  Transfer &Open = Transfers.at(Id);
  const ReplyHook OnReply = std::move(Open.Pieces.at(Offset).OnReply);
  Open.Pieces.erase(Offset);
  CallFetch Due;
  Due.Id = Id;
  Due.Offset = Offset;
  Due.MaxPieceBytes = LinkPieceBytes;
  const CallReply Reply = Fetch(Due);
  Open.UsedAt = Context.now();
  Open.SentBytes = std::max(Open.SentBytes, Reply.Offset + Reply.Piece.size());
  std::string Body = encode(Reply);
  // The schedule has accounted for the piece.
  onSent(Body.size() - Reply.Piece.size());
  OnReply(std::move(Body));
}

void PacedReplies::sendEmpty(const CallId &Id, std::uint64_t Offset,
                             const ReplyHook &OnReply) {
  CallFetch State;
  State.Id = Id;
  State.Offset = Offset;
  State.MaxPieceBytes = 1;
  CallReply Reply = Fetch(State);
  Reply.Piece.clear();
  sendUnscheduled(Reply, OnReply);
}

void PacedReplies::sendUnscheduled(const CallReply &Reply,
                                   const ReplyHook &OnReply) {
  std::string Body = encode(Reply);
  if (limited())
    onSent(Body.size());
  OnReply(std::move(Body));
}

void PacedReplies::dropPieces(const CallId &Id, Transfer &Dropped) {
  for (const auto &[Offset, Waiting] : Dropped.Pieces) {
    Link.remove(Waiting.Turn);
    sendEmpty(Id, Offset, Waiting.OnReply);
  }
  Dropped.Pieces.clear();
}

void PacedReplies::answerOverdue(const CallId &Id, Transfer &Waiting) {
  const TimeMs Now = Context.now();
  for (auto It = Waiting.Pieces.begin(); It != Waiting.Pieces.end();) {
    if (It->second.AnswerBy > Now) {
      ++It;
      continue;
    }
    Link.remove(It->second.Turn);
    sendEmpty(Id, It->first, It->second.OnReply);
    It = Waiting.Pieces.erase(It);
  }
}

/// Whether the entry node of an answer still asks for it. Between two pieces it
/// asks again within a round trip.
bool PacedReplies::expectsFetch(const Transfer &Open) const {
  return !Open.Pieces.empty() ||
         Context.now() - Open.UsedAt <= Context.Settings.FetchTimeout;
}

/// Bytes of answers on their way that have not been asked for yet.
std::size_t PacedReplies::unfetchedBytes() const {
  std::size_t Bytes = 0;
  for (const auto &[Id, Open] : Transfers) {
    if (!expectsFetch(Open))
      continue;
    std::uint64_t Known = Open.SentBytes;
    for (const auto &[Offset, Waiting] : Open.Pieces)
      Known +=
          std::min<std::uint64_t>(LinkPieceBytes, Open.TotalBytes - Offset);
    Bytes += Open.TotalBytes - std::min(Known, Open.TotalBytes);
  }
  return Bytes;
}

} // namespace fescuewood
