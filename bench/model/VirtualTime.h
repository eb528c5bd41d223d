/// \file
/// Virtual time for simulations: an event queue and a clock that advances from
/// event to event without waiting.

#ifndef FESCUEWOOD_BENCH_MODEL_VIRTUALTIME_H
#define FESCUEWOOD_BENCH_MODEL_VIRTUALTIME_H

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <map>
#include <utility>

/// Event queue with times in microseconds. Events with the same time run in the
/// order in which they were added.
class VirtualTime {
public:
  using Task = std::function<void()>;

  void after(std::int64_t DelayUs, Task Work) {
    Events.emplace(std::pair(NowUs + (DelayUs > 0 ? DelayUs : 0), Next++),
                   std::move(Work));
  }

  /// Runs every event up to and including \p EndUs and sets the time to it.
  void runUntil(std::int64_t EndUs) {
    while (!Events.empty() && Events.begin()->first.first <= EndUs) {
      NowUs = Events.begin()->first.first;
      const Task Work = std::move(Events.begin()->second);
      Events.erase(Events.begin());
      Work();
    }
    NowUs = EndUs;
  }

  std::int64_t nowUs() const { return NowUs; }

  /// Returns a clock that reads this time. Must not outlive this object.
  fescuewood::Clock clock() const {
    return fescuewood::Clock(
        [this] { return fescuewood::TimeMs(NowUs / UsPerMs); });
  }

  static constexpr std::int64_t UsPerMs = 1000;

private:
  std::map<std::pair<std::int64_t, std::uint64_t>, Task> Events;
  std::int64_t NowUs = 1'000'000'000; // Not near 0, like a real clock.
  std::uint64_t Next = 0;
};

#endif // FESCUEWOOD_BENCH_MODEL_VIRTUALTIME_H
