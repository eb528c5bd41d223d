/// \file
/// Bounded blocking FIFO queue between threads.
///
/// Any number of threads push; one thread pops. A push to a full queue fails,
/// so the producer decides which load to shed; nothing is dropped silently.

#ifndef FESCUEWOOD_CORE_BOUNDEDQUEUE_H
#define FESCUEWOOD_CORE_BOUNDEDQUEUE_H

#include "core/Clock.h"

#include <chrono>
#include <condition_variable>
#include <cstddef>
#include <deque>
#include <mutex>
#include <optional>
#include <utility>

namespace fescuewood {

/// Bounded multi-producer, single-consumer queue. Thread-safe.
template <typename T> class BoundedQueue {
public:
  /// \param Capacity maximum number of queued values; at least 1.
  explicit BoundedQueue(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds a value. Returns false when the queue is full or closed.
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

  /// Removes and returns the oldest value, waiting up to \p Timeout for one.
  /// Returns std::nullopt on timeout, or when the queue is closed and empty.
  std::optional<T> pop(DurationMs Timeout) {
    std::unique_lock<std::mutex> Lock(Mutex);
    Changed.wait_for(Lock, std::chrono::milliseconds(Timeout.Value),
                     [this] { return Closed || !Values.empty(); });
    if (Values.empty())
      return std::nullopt;
    T Value = std::move(Values.front());
    Values.pop_front();
    return Value;
  }

  /// Rejects every later push; queued values can still be popped.
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

#endif // FESCUEWOOD_CORE_BOUNDEDQUEUE_H
