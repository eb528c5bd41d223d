// Answers to other nodes over the link of this machine, and admission by what
// the link carries in time. TargetSide.cpp has the rest of the class.

#include "calls/TargetSide.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace fescuewood {

namespace {

/// Part of the remaining time that is left for the run, small answers and what
/// messages add to the answer: 1 / MarginDivisor. Without it, answers on a full
/// link of 10 Mbit/s were up to 79 ms late for an objective of 1500 ms.
constexpr std::int64_t MarginDivisor = 10;

} // namespace

void TargetSide::startForPeer(CallStart Start, const ReplyHook &OnReply) {
  const CallId Id = Start.Request.Id;
  const TimeMs Deadline = Context.now() + Start.Request.Remaining;
  accept(
      std::move(Start),
      [this, Id, Deadline, OnReply](const CallReply &Reply) {
        Replies.reply(Id, Deadline, Reply, OnReply);
      },
      true);
}

/// Expected bytes of an answer that waits for its turn on the link; 0 for a
/// small answer and for one that does not pass the link.
std::size_t TargetSide::linkBytes(const HeldCall &Call) const {
  if (!Replies.limited() || !Call.FromPeer)
    return 0;
  const std::size_t Expected = Memory.expectedBytes(Call.Request.Route);
  return Expected > SmallMessageBytes ? Expected : 0;
}

/// Queueing delay of the link in the direction in which it is longer; 0 if the
/// link is not scheduled. Includes the expected answers of running calls.
DurationMs TargetSide::linkDelay() const {
  return std::max(Replies.timeToSend(ProducingBytes), Bodies.backlogTime());
}

/// Refuses a call whose answer would leave the link too late, behind the
/// backlog and \p Others, the bytes of answers that are expected before it.
///
/// Answers a link that is asked for more than it carries. A burst may use all
/// the time until the deadline. Once the link has been busy for as long as the
/// objective of the route, the load is no burst, and a backlog as long as the
/// deadline would make every answer late; then only answers within the
/// objective are admitted.
ResultCode TargetSide::refusalByLink(const HeldCall &Call, std::size_t Others) {
  const std::size_t Bytes = linkBytes(Call);
  if (Bytes == 0)
    return ResultCode::Ok;
  TimeMs Latest = Call.Deadline;
  const Route *MatchedRoute =
      Context.Config ? Context.Config->findRouteByName(Call.Request.Route)
                     : nullptr;
  if (MatchedRoute && MatchedRoute->Objective > DurationMs(0) &&
      Call.Request.Priority != InnerCallPriority &&
      Replies.busyFor(MatchedRoute->Objective))
    Latest = std::min(Latest, Call.ArrivedAt + MatchedRoute->Objective);
  const DurationMs Left = Latest - Context.now();
  const DurationMs Usable = Left - DurationMs(Left.Value / MarginDivisor);
  if (Replies.timeToSend(Others + Bytes) <= Usable)
    return ResultCode::Ok;
  ++Context.Counters.LinkRefusals;
  return ResultCode::LinkBusy;
}

} // namespace fescuewood
