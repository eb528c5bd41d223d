/// \file
/// Token bucket that limits an average rate and a burst.

#ifndef FESCUEWOOD_POLICY_TOKENBUCKET_H
#define FESCUEWOOD_POLICY_TOKENBUCKET_H

#include "core/Clock.h"

#include <algorithm>

namespace fescuewood {

/// Starts full. Not thread-safe.
class TokenBucket {
public:
  /// \param Rate tokens added per second.
  /// \param Burst capacity in tokens.
  TokenBucket(double Rate, double Burst, TimeMs Now)
      : Rate(Rate), Burst(Burst), Tokens(Burst), RefilledAt(Now) {}

  /// Changes the refill rate, also for the time since the last \ref take or
  /// \ref drain.
  void setRate(double NewRate) { Rate = NewRate; }

  /// Discards all tokens.
  void drain(TimeMs Now) {
    Tokens = 0;
    RefilledAt = Now;
  }

  /// Removes one token and returns true, or returns false if there is none.
  bool take(TimeMs Now) {
    const auto Passed = static_cast<double>((Now - RefilledAt).Value);
    Tokens = std::min(Burst, Tokens + Rate * Passed / MsPerSecond);
    RefilledAt = Now;
    if (Tokens < 1)
      return false;
    Tokens -= 1;
    return true;
  }

private:
  static constexpr double MsPerSecond = 1000;

  double Rate;
  double Burst;
  double Tokens;
  TimeMs RefilledAt;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENBUCKET_H
