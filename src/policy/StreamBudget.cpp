#include "policy/StreamBudget.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Divisor of the limit for streams that already hold memory.
constexpr std::size_t FurtherStepsDivisor = 2;

} // namespace

bool StreamBudget::reserve(StreamId Stream, std::size_t Bytes,
                           ReservedHook OnReserved) {
  Waiters &Queue = Held.contains(Stream) ? Further : First;
  const bool IsNext = Queue.empty() || mayExceed(Stream);
  if (IsNext && mayReserve(Stream, Bytes)) {
    hold(Stream, Bytes);
    return true;
  }
  Queue.push_back({Stream, Bytes, std::move(OnReserved)});
  return false;
}

void StreamBudget::release(StreamId Stream) {
  const auto IsOwn = [Stream](const Waiter &Entry) {
    return Entry.Stream == Stream;
  };
  std::erase_if(First, IsOwn);
  std::erase_if(Further, IsOwn);
  if (const auto Found = Held.find(Stream); Found != Held.end()) {
    HeldBytes -= Found->second;
    Held.erase(Found);
  }
  admitWaiters();
}

std::size_t StreamBudget::heldBytes(StreamId Stream) const {
  const auto Found = Held.find(Stream);
  return Found == Held.end() ? 0 : Found->second;
}

/// Whether a stream is the oldest one that holds memory, or would be.
bool StreamBudget::mayExceed(StreamId Stream) const {
  return Held.empty() || Held.begin()->first == Stream;
}

bool StreamBudget::mayReserve(StreamId Stream, std::size_t Bytes) const {
  const std::size_t Bound =
      Held.contains(Stream) ? Limit / FurtherStepsDivisor : Limit;
  return mayExceed(Stream) || HeldBytes + Bytes <= Bound;
}

void StreamBudget::hold(StreamId Stream, std::size_t Bytes) {
  Held[Stream] += Bytes;
  HeldBytes += Bytes;
}

void StreamBudget::admitWaiters() {
  while (admitOldest(Further) || admitOne(First) || admitOne(Further)) {
  }
}

/// Admits the waiter that may exceed the limit. Returns false if it does not
/// wait.
bool StreamBudget::admitOldest(Waiters &Queue) {
  const auto Oldest =
      std::find_if(Queue.begin(), Queue.end(), [this](const Waiter &Entry) {
        return mayExceed(Entry.Stream);
      });
  if (Oldest == Queue.end())
    return false;
  admit(Queue, Oldest);
  return true;
}

/// Admits the first waiter of a queue. Returns false if there is no room for
/// it.
bool StreamBudget::admitOne(Waiters &Queue) {
  if (Queue.empty() || !mayReserve(Queue.front().Stream, Queue.front().Bytes))
    return false;
  admit(Queue, Queue.begin());
  return true;
}

void StreamBudget::admit(Waiters &Queue, const Waiters::iterator &Position) {
  const Waiter Next = std::move(*Position);
  Queue.erase(Position);
  hold(Next.Stream, Next.Bytes);
  Next.OnReserved();
}

} // namespace fescuewood
