/// \file
/// Exponential backoff with full jitter for reads that failed.

#ifndef FESCUEWOOD_POLICY_BACKOFF_H
#define FESCUEWOOD_POLICY_BACKOFF_H

#include "core/Clock.h"

#include <algorithm>
#include <cstdint>
#include <random>

namespace fescuewood {

/// The bounds of the random waits: they double from the least to the greatest.
struct Backoff {
  DurationMs Least;
  DurationMs Greatest;

  /// The bound of the wait after \p FailuresInARow earlier failures.
  constexpr DurationMs bound(unsigned FailuresInARow) const {
    constexpr unsigned MostDoublings = 16;
    const unsigned Doublings = std::min(FailuresInARow, MostDoublings);
    return std::min(Least * (std::int64_t{1} << Doublings), Greatest);
  }
};

/// A random wait of up to \p Most.
template <typename Generator>
DurationMs jitter(DurationMs Most, Generator &Random) {
  std::uniform_int_distribution<std::int64_t> Spread(0, Most.Value);
  return DurationMs(Spread(Random));
}

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_BACKOFF_H
