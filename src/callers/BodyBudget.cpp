#include "callers/BodyBudget.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

bool BodyBudget::book(const void *Owner, std::size_t Bytes, RoomHook OnRoom) {
  if (Queue.empty() && fits(Bytes)) {
    Held += Bytes;
    return true;
  }
  Queue.push_back({Owner, Bytes, std::move(OnRoom)});
  return false;
}

void BodyBudget::release(std::size_t Bytes) {
  Held -= std::min(Held, Bytes);
  admit();
}

bool BodyBudget::cancel(const void *Owner) {
  const bool Waited = std::erase_if(Queue, [Owner](const Waiter &Each) {
                        return Each.Owner == Owner;
                      }) != 0;
  // The next waiter may need less memory than the removed one.
  if (Waited)
    admit();
  return Waited;
}

bool BodyBudget::fits(std::size_t Bytes) const {
  return Held == 0 || Held + Bytes <= Limit;
}

void BodyBudget::admit() {
  while (!Queue.empty() && fits(Queue.front().Bytes)) {
    const Waiter Next = std::move(Queue.front());
    Queue.pop_front();
    Held += Next.Bytes;
    Next.OnRoom();
  }
}

} // namespace fescuewood
