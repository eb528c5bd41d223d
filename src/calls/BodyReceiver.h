/// \file
/// The receiving side of staged bodies: which are accepted, and when their
/// senders may send the next piece.
///
/// Answers many large bodies to one target over a link that they fill. The node
/// beside the target receives all of them, so it alone paces them: each piece
/// waits for its turn in the schedule of the receiving link, and the reply to a
/// message is the grant of the next piece. Small messages are sent without a
/// turn and find at most a piece or two before them.
///
/// The bytes of a turn are granted once, whether they arrive or not, so a
/// sender that goes silent holds no turn of others.

#ifndef FESCUEWOOD_CALLS_BODYRECEIVER_H
#define FESCUEWOOD_CALLS_BODYRECEIVER_H

#include "calls/CallContext.h"
#include "nodes/CallMessages.h"
#include "nodes/PeerTransport.h"
#include "policy/LinkSchedule.h"
#include "policy/StagedBodies.h"

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <utility>

namespace fescuewood {

/// A reply waits at most this long for a grant. It is shorter than
/// CallSettings::FetchTimeout, so that a sender can tell a node that has no
/// room from one that is silent.
inline constexpr DurationMs MaxGrantDelay{200};

/// A refusal of a body; ResultCode::Ok if it is accepted.
struct BodyRefusal {
  ResultCode Reason = ResultCode::Ok;
  DurationMs RetryAfter{0};
};

/// The body of a call that starts.
struct ClaimedBody {
  ResultCode Reason = ResultCode::Ok; ///< If not Ok, the call must not run.
  std::size_t HeldBytes = 0;          ///< For \ref BodyReceiver::release.
  DurationMs StagedFor{0}; ///< Since the first message about the body.
};

/// What the receiver asks of the target side.
struct BodyReceiverHooks {
  /// Whether a call would be refused for another reason than its body.
  std::function<BodyRefusal(const CallRequest &)> Refusal;
  /// Whether a call has started, ended or been cancelled here.
  std::function<bool(const CallId &)> IsKnown;
  /// Time that a run on a route takes.
  std::function<DurationMs(const std::string &)> RunTime;
  std::function<LoadReport()> Load;
};

/// Bodies that are staged at one node. Not thread-safe; used only inside
/// CallContext::run.
class BodyReceiver {
public:
  BodyReceiver(CallContext &Context, BodyReceiverHooks Hooks);

  /// Handles a message; the reply is sent now or with the next grant.
  void receive(const CallBody &Message, ReplyHook OnReply);

  /// Gives a call that starts its body and reserves the memory for it.
  ClaimedBody claim(bool IsStaged, CallRequest &Request);

  /// Returns the memory of a call that has ended.
  void release(std::size_t HeldBytes) { Bodies.release(HeldBytes); }

  /// Drops the body of a call that will not start.
  void drop(const CallId &Id);

  /// Accounts for a message that arrived without a turn.
  void onReceived(std::size_t Bytes);

  /// Grants what has its turn and drops what has expired.
  void tick();

  /// Time until all bodies that are accepted now have been received; 0 if the
  /// link is not scheduled.
  DurationMs backlogTime() const { return timeToReceive(0); }

  /// Whether no body is being staged.
  bool idle() const { return Bodies.size() == 0; }

  /// Sets the gauges of bodies in \p Status.
  void fill(CallStatus &Status) const;

private:
  struct Waiting {
    ReplyHook OnReply;
    TimeMs AnswerBy;
  };

  /// The messages and turns of one body.
  struct Transfer {
    std::deque<Waiting> Replies;
    /// Queued turns and the bytes that each grants.
    std::deque<std::pair<LinkTransferId, std::size_t>> Turns;
    std::size_t AnnouncedBytes = 0; ///< Granted according to the last reply.
  };

  bool isForThisProcess(const CallBody &Message) const;
  BodyRefusal open(const CallBody &Message);
  BodyRefusal refusalByLink(const CallBody &Message) const;
  void proceed(const CallId &Id);
  void queueTurns(const CallId &Id, Transfer &Open);
  void onTurn(const CallId &Id, std::size_t Bytes);
  void replyToOldest(const CallId &Id, Transfer &Open);
  void refuse(const BodyRefusal &Refusal, const ReplyHook &OnReply) const;
  std::size_t windowPieces() const;
  DurationMs timeToReceive(std::size_t Bytes) const;

  CallContext &Context;
  BodyReceiverHooks Hooks;
  LinkSchedule Link;
  StagedBodies Bodies;
  std::map<CallId, Transfer> Transfers; ///< One for each of \ref Bodies.
  std::size_t QueuedBytes = 0;          ///< Of bodies, in queued turns.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_BODYRECEIVER_H
