#include "policy/LinkSchedule.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

double toMs(TimeMs Time) { return static_cast<double>(Time.Value); }

} // namespace

LinkTransferId LinkSchedule::add(std::size_t Bytes, TimeMs Deadline,
                                 TurnHook OnTurn, TimeMs Now) {
  resume(Now);
  const LinkTransferId Id{Deadline, ++LastNumber};
  Queue.emplace(Id, Transfer{Bytes, std::move(OnTurn)});
  QueuedBytes += Bytes;
  return Id;
}

bool LinkSchedule::remove(const LinkTransferId &Id) {
  const auto Found = Queue.find(Id);
  if (Found == Queue.end())
    return false;
  QueuedBytes -= Found->second.Bytes;
  Queue.erase(Found);
  return true;
}

void LinkSchedule::onSent(std::size_t Bytes, TimeMs Now) {
  resume(Now);
  occupy(Bytes, Now);
}

void LinkSchedule::release(TimeMs Now) {
  while (!Queue.empty() && nextDue() <= Now) {
    const auto First = Queue.begin();
    const TurnHook OnTurn = std::move(First->second.OnTurn);
    const std::size_t Bytes = First->second.Bytes;
    Queue.erase(First);
    QueuedBytes -= Bytes;
    occupy(Bytes, Now);
    OnTurn();
  }
}

TimeMs LinkSchedule::nextDue() const {
  if (Queue.empty())
    return Never;
  return TimeMs(static_cast<std::int64_t>(std::ceil(FreeAtMs)));
}

DurationMs LinkSchedule::timeToSend(std::size_t Bytes, TimeMs Now) const {
  if (!limited())
    return DurationMs(0);
  const double StartMs = std::max(FreeAtMs - toMs(Now), 0.0);
  const double SendingMs =
      static_cast<double>(QueuedBytes + Bytes) / BytesPerMs;
  return DurationMs(static_cast<std::int64_t>(std::ceil(StartMs + SendingMs)));
}

DurationMs LinkSchedule::busyFor(TimeMs Now) const {
  return idle(Now) ? DurationMs(0) : Now - BusySince;
}

bool LinkSchedule::idle(TimeMs Now) const {
  return Queue.empty() && FreeAtMs <= toMs(Now);
}

/// Starts a busy period if the link is idle.
void LinkSchedule::resume(TimeMs Now) {
  if (!idle(Now))
    return;
  FreeAtMs = toMs(Now);
  BusySince = Now;
}

void LinkSchedule::occupy(std::size_t Bytes, TimeMs Now) {
  if (!limited())
    return;
  const double EarliestMs = toMs(Now - MaxLateTurn);
  FreeAtMs =
      std::max(FreeAtMs, EarliestMs) + static_cast<double>(Bytes) / BytesPerMs;
}

} // namespace fescuewood
