/// \file
/// Bounded first-in, first-out ring that joins the threads of two duties.
///
/// Any number of threads push; one thread pops. A full ring refuses the push,
/// so that the producer decides what to shed; nothing is dropped silently.

#ifndef FESCUEWOOD_CORE_RING_H
#define FESCUEWOOD_CORE_RING_H

#include "core/Clock.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace fescuewood {

/// Bounded, thread-safe ring of values.
template <typename T> class BoundedQueue {
public:
  /// \param Capacity most values held at once; at least 1.
  explicit BoundedQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds a value, or returns false when the ring is full or closed.
  bool push(T Value) {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      if (Closed || Values.size() >= Capacity)
        return false;
      Values.push_back(std::move(Value));
    }
    Changed.notify_one();
    return true;
  }

  /// Takes the oldest value; waits up to \p Wait for one. Returns nothing when
  /// none came, or when the ring is closed and empty.
  std::optional<T> pop(DurationMs Wait) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait_for(Lock, std::chrono::milliseconds(Wait.Value),
                     [this] { return Closed || !Values.empty(); });
    if (Values.empty())
      return std::nullopt;
    T Value = std::move(Values.front());
    Values.pop_front();
    return Value;
  }

  /// Refuses every later push; what is held can still be taken.
  void close() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Closed = true;
    }
    Changed.notify_all();
  }

  bool closed() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Closed;
  }

  std::size_t size() const {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Values.size();
  }

private:
  const std::size_t Capacity;
  mutable std::mutex Mutex;
  std::condition_variable Changed;
  std::deque<T> Values;
  bool Closed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_RING_H
