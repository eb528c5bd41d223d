/// \file
/// Exponential backoff with full jitter for the retry of failed reads.

#ifndef FESCUEWOOD_POLICY_BACKOFF_H
#define FESCUEWOOD_POLICY_BACKOFF_H

#include "core/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace fescuewood {

/// Upper bounds of the random delays; they double with each failure, from the
/// initial bound to the maximum.
struct Backoff {
  DurationMs InitialBound;
  DurationMs MaxBound;

  /// Upper bound of the delay after \p ConsecutiveFailures failures.
  constexpr DurationMs bound(unsigned ConsecutiveFailures) const {
    constexpr unsigned MaxDoublings = 16;
    const unsigned Doublings = std::min(ConsecutiveFailures, MaxDoublings);
    return std::min(InitialBound * (std::int64_t{1} << Doublings), MaxBound);
  }
};

/// A uniform random delay from 0 to \p Max.
template <typename Generator>
DurationMs jitter(DurationMs Max, Generator &Random) {
  std::uniform_int_distribution<std::int64_t> Distribution(0, Max.Value);
  return DurationMs(Distribution(Random));
}

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_BACKOFF_H
