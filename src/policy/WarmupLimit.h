/// \file
/// Bounds what a cold target is given, in requests a second.
///
/// A target is cold for a while after its start and would fall over under its
/// usual load. The node beside it is the only one that gives it requests, so a
/// bucket there holds the bound for the whole fleet.

#ifndef FESCUEWOOD_POLICY_WARMUPLIMIT_H
#define FESCUEWOOD_POLICY_WARMUPLIMIT_H

#include "core/Clock.h"
#include "policy/TokenBucket.h"

#include <cstdint>

namespace fescuewood {

/// The bound of one target. Not thread-safe.
class WarmupLimit {
public:
  /// Requests a second that the cold target bears; 0: it is never cold.
  void setRate(double NewRate) {
    PerSecond = NewRate;
    Bucket.setRate(NewRate);
  }

  /// The target is cold until then. What a warm one was given counts for
  /// nothing: the bucket begins empty.
  void setColdUntil(TimeMs NewUntil, TimeMs Now) {
    if (!cold(Now))
      Bucket.drain(Now);
    Until = NewUntil;
  }

  bool cold(TimeMs Now) const { return PerSecond > 0 && Now < Until; }

  /// Whether one more request may be given; takes its token.
  bool take(TimeMs Now) { return !cold(Now) || Bucket.take(Now); }

  /// Mean time between two requests to the cold target.
  DurationMs interval() const {
    return DurationMs(static_cast<std::int64_t>(MsPerSecond / PerSecond));
  }

private:
  static constexpr double MsPerSecond = 1000;

  /// Saved up at most, in requests, so that any second stays near the rate.
  static constexpr double Burst = 2;

  double PerSecond = 0;
  TokenBucket Bucket{0, Burst, TimeMs(0)};
  TimeMs Until{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_WARMUPLIMIT_H
