#include "callers/BodyBudget.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Divisor of the limit for bodies that already hold memory.
constexpr std::size_t FurtherStepsDivisor = 2;

} // namespace

bool BodyBudget::reserve(BodyId Body, std::size_t Bytes,
                         ReservedHook OnReserved) {
  Waiters &Queue = Held.contains(Body) ? Further : First;
  const bool IsNext = Queue.empty() || mayExceed(Body);
  if (IsNext && mayReserve(Body, Bytes)) {
    hold(Body, Bytes);
    return true;
  }
  Queue.push_back({Body, Bytes, std::move(OnReserved)});
  return false;
}

void BodyBudget::release(BodyId Body) {
  const auto IsOwn = [Body](const Waiter &Entry) { return Entry.Body == Body; };
  std::erase_if(First, IsOwn);
  std::erase_if(Further, IsOwn);
  if (const auto Found = Held.find(Body); Found != Held.end()) {
    HeldBytes -= Found->second;
    Held.erase(Found);
  }
  admitWaiters();
}

std::size_t BodyBudget::heldBytes(BodyId Body) const {
  const auto Found = Held.find(Body);
  return Found == Held.end() ? 0 : Found->second;
}

/// Whether a body is the oldest one that holds memory, or would be.
bool BodyBudget::mayExceed(BodyId Body) const {
  return Held.empty() || Held.begin()->first == Body;
}

bool BodyBudget::mayReserve(BodyId Body, std::size_t Bytes) const {
  const std::size_t Bound =
      Held.contains(Body) ? Limit / FurtherStepsDivisor : Limit;
  return mayExceed(Body) || HeldBytes + Bytes <= Bound;
}

void BodyBudget::hold(BodyId Body, std::size_t Bytes) {
  Held[Body] += Bytes;
  HeldBytes += Bytes;
}

void BodyBudget::admitWaiters() {
  while (admitOldest(Further) || admitOne(First) || admitOne(Further)) {
  }
}

/// Admits the waiter that may exceed the limit. Returns false if it does not
/// wait.
bool BodyBudget::admitOldest(Waiters &Queue) {
  const auto Oldest =
      std::find_if(Queue.begin(), Queue.end(), [this](const Waiter &Entry) {
        return mayExceed(Entry.Body);
      });
  if (Oldest == Queue.end())
    return false;
  admit(Queue, Oldest);
  return true;
}

/// Admits the first waiter of a queue. Returns false if there is no room for
/// it.
bool BodyBudget::admitOne(Waiters &Queue) {
  if (Queue.empty() || !mayReserve(Queue.front().Body, Queue.front().Bytes))
    return false;
  admit(Queue, Queue.begin());
  return true;
}

void BodyBudget::admit(Waiters &Queue, const Waiters::iterator &Position) {
  const Waiter Next = std::move(*Position);
  Queue.erase(Position);
  hold(Next.Body, Next.Bytes);
  Next.OnReserved();
}

} // namespace fescuewood
