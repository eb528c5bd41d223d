/// \file
/// Rate limit for a target that is cold, in requests per second.
///
/// A target is cold for a while after its start and would fail under its normal
/// load. All of its requests pass through its own node, so one token bucket
/// there enforces the limit for the whole mesh.

#ifndef FESCUEWOOD_POLICY_WARMUPLIMIT_H
#define FESCUEWOOD_POLICY_WARMUPLIMIT_H

#include "core/Clock.h"
#include "policy/TokenBucket.h"

#include <cstdint>

namespace fescuewood {

/// Warm-up rate limit of one target. Not thread-safe.
class WarmupLimit {
public:
  /// Sets the rate for the cold target, in requests per second; 0 disables the
  /// limit.
  void setRate(double NewRate) {
    RatePerSecond = NewRate;
    Bucket.setRate(NewRate);
  }

  /// Sets the time until which the target is cold. The bucket starts empty, so
  /// that tokens saved while the target was warm are not spent on the cold one.
  void setColdUntil(TimeMs NewColdUntil, TimeMs Now) {
    if (!cold(Now))
      Bucket.drain(Now);
    ColdUntil = NewColdUntil;
  }

  bool cold(TimeMs Now) const { return RatePerSecond > 0 && Now < ColdUntil; }

  /// Whether one more request may be sent; takes a token while the target is
  /// cold.
  bool take(TimeMs Now) { return !cold(Now) || Bucket.take(Now); }

  /// Mean interval between requests to the cold target.
  DurationMs interval() const {
    return DurationMs(static_cast<std::int64_t>(MsPerSecond / RatePerSecond));
  }

private:
  static constexpr double MsPerSecond = 1000;

  /// Capacity of the bucket, in requests; small, so that the rate holds over
  /// any second.
  static constexpr double Burst = 2;

  double RatePerSecond = 0;
  TokenBucket Bucket{0, Burst, TimeMs(0)};
  TimeMs ColdUntil{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_WARMUPLIMIT_H
