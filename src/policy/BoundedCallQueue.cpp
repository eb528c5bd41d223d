#include "policy/BoundedCallQueue.h"

namespace fescuewood {

BoundedCallQueue::LaneId BoundedCallQueue::laneOf(const QueuedCall &Call) {
  return {Call.CanWait ? Class::Deferrable : Class::Urgent, Call.Priority};
}

bool BoundedCallQueue::hasRoom(const QueuedCall &Call) const {
  if (Index.size() >= Settings.MaxRequests ||
      Bytes + Call.Bytes > Settings.MaxBytes)
    return false;
  const auto Held = BytesByOrganisation.find(Call.Organisation);
  if (Held == BytesByOrganisation.end())
    return true;
  return Held->second + Call.Bytes <= Settings.MaxBytes - Bytes;
}

bool BoundedCallQueue::refuse(ResultCode Reason) {
  LastReason = Reason;
  return false;
}

void BoundedCallQueue::hold(const QueuedCall &Call) {
  Bytes += Call.Bytes;
  BytesByOrganisation[Call.Organisation] += Call.Bytes;
  Index.emplace(Call.Id, Location{laneOf(Call), Call.Organisation});
}

void BoundedCallQueue::release(const QueuedCall &Call) {
  Index.erase(Call.Id);
  Bytes -= Call.Bytes;
  const auto Held = BytesByOrganisation.find(Call.Organisation);
  Held->second -= Call.Bytes;
  if (Held->second == 0)
    BytesByOrganisation.erase(Held);
}

const BoundedCallQueue::Location *
BoundedCallQueue::locate(const CallId &Id) const {
  const auto Found = Index.find(Id);
  return Found == Index.end() ? nullptr : &Found->second;
}

BoundedCallQueue::Class BoundedCallQueue::nextClass(bool HasUrgent,
                                                    bool HasDeferrable) const {
  const bool DeferrableTurn = ConsecutiveUrgent + 1 >= Settings.WaitingShare;
  return !HasUrgent || (DeferrableTurn && HasDeferrable) ? Class::Deferrable
                                                         : Class::Urgent;
}

void BoundedCallQueue::onServed(Class Type) {
  ConsecutiveUrgent = Type == Class::Deferrable ? 0 : ConsecutiveUrgent + 1;
}

} // namespace fescuewood
