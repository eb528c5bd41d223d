#include "callers/BodyBudget.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

bool BodyBudget::reserve(const void *Owner, std::size_t Bytes,
                         ReservedHook OnReserved) {
  if (Waiters.empty() && hasRoomFor(Bytes)) {
    HeldBytes += Bytes;
    return true;
  }
  Waiters.push_back({Owner, Bytes, std::move(OnReserved)});
  return false;
}

void BodyBudget::release(std::size_t Bytes) {
  HeldBytes -= std::min(HeldBytes, Bytes);
  admitWaiters();
}

bool BodyBudget::cancel(const void *Owner) {
  const bool Removed = std::erase_if(Waiters, [Owner](const Waiter &Entry) {
                         return Entry.Owner == Owner;
                       }) != 0;
  // The next waiter may need less memory than the removed one.
  if (Removed)
    admitWaiters();
  return Removed;
}

bool BodyBudget::hasRoomFor(std::size_t Bytes) const {
  return HeldBytes == 0 || HeldBytes + Bytes <= Limit;
}

void BodyBudget::admitWaiters() {
  while (!Waiters.empty() && hasRoomFor(Waiters.front().Bytes)) {
    const Waiter Next = std::move(Waiters.front());
    Waiters.pop_front();
    HeldBytes += Next.Bytes;
    Next.OnReserved();
  }
}

} // namespace fescuewood
