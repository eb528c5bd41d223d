/// \file
/// The replies of a node to other nodes, sent by the schedule of its link.
///
/// Answers the load of large answers on a narrow link. A reply with a piece of
/// at most \ref SmallMessageBytes is sent at once. A larger piece has at most
/// \ref LinkPieceBytes and waits for its turn; its reply is made when the turn
/// comes, so that waiting replies hold no memory and report the current load.
///
/// A fetch that waits for long is answered without a piece, so that its entry
/// node does not take this one for silent and asks again. An answer whose entry
/// node asks for nothing more is no longer counted in the backlog.
///
/// Without a link rate every reply is sent at once. Answers of several pieces
/// are still tracked, since they are complete only after their last fetch.

#ifndef FESCUEWOOD_CALLS_PACEDREPLIES_H
#define FESCUEWOOD_CALLS_PACEDREPLIES_H

#include "calls/CallContext.h"
#include "nodes/CallMessages.h"
#include "nodes/PeerTransport.h"
#include "policy/LinkSchedule.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>

namespace fescuewood {

/// Replies to other nodes. Not thread-safe; used only inside CallContext::run.
class PacedReplies {
public:
  /// Returns the state of a call with a piece of its answer.
  using FetchHook = std::function<CallReply(const CallFetch &)>;

  PacedReplies(CallContext &Context, FetchHook Fetch);

  /// Whether the link has a rate. If not, every reply is sent at once.
  bool limited() const { return Link.limited(); }

  /// Sends the reply to the start of a call.
  /// \param Deadline of the call; its answer is not sent later.
  void reply(const CallId &Id, TimeMs Deadline, const CallReply &Reply,
             ReplyHook OnReply);

  /// Sends the reply to a fetch.
  void reply(const CallFetch &Fetch, ReplyHook OnReply);

  /// Drops the rest of the answer of a call.
  void drop(const CallId &Id);

  /// Accounts for bytes that the node sends to others, except for the replies.
  void onSent(std::size_t Bytes) { Link.onSent(Bytes, Context.now()); }

  void tick();

  /// Time from which \ref tick has something to do; Never if there is nothing.
  TimeMs nextDue() const;

  /// Bytes of answers that are still to be sent over a link with a rate.
  std::size_t backlogBytes() const;

  /// Time until \p Bytes more have been sent after the backlog.
  DurationMs timeToSend(std::size_t Bytes) const;

  /// Whether the link has been busy for at least \p Span without a break.
  bool busyFor(DurationMs Span) const {
    return Link.busyFor(Context.now()) >= Span;
  }

  /// Whether no answer is being sent, and no entry node is about to ask for
  /// the rest of one.
  bool idle() const { return Link.queuedBytes() == 0 && unfetchedBytes() == 0; }

private:
  /// A piece that waits for its turn.
  struct Piece {
    ReplyHook OnReply;
    LinkTransferId Turn;
    TimeMs AnswerBy; ///< The reply is sent without the piece then.
  };

  /// A large answer on its way to another node.
  struct Transfer {
    TimeMs Deadline;
    std::uint64_t TotalBytes = 0;
    std::uint64_t SentBytes = 0; ///< End of the last piece that was sent.
    TimeMs UsedAt;               ///< Last fetch or turn.
    std::map<std::uint64_t, Piece> Pieces; ///< By offset.
  };

  using TransferMap = std::map<CallId, Transfer>;

  Transfer &transfer(const CallId &Id, TimeMs Deadline, const CallReply &Reply);
  void track(const CallId &Id, TimeMs Deadline, const CallReply &Reply);
  void queue(const CallId &Id, const CallReply &Reply, TimeMs AnswerBy,
             ReplyHook OnReply);
  void onTurn(const CallId &Id, std::uint64_t Offset);
  void sendEmpty(const CallId &Id, std::uint64_t Offset,
                 const ReplyHook &OnReply);
  void sendUnscheduled(const CallReply &Reply, const ReplyHook &OnReply);
  void dropPieces(const CallId &Id, Transfer &Dropped);
  void answerOverdue(const CallId &Id, Transfer &Waiting);
  bool expectsFetch(const Transfer &Open) const;
  std::size_t unfetchedBytes() const;

  CallContext &Context;
  FetchHook Fetch;
  LinkSchedule Link;
  TransferMap Transfers;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_PACEDREPLIES_H
