/// \file
/// An allowance that fills up at a steady rate: how often something may be done
/// on average, and how often at once.

#ifndef FESCUEWOOD_POLICY_TOKENBUCKET_H
#define FESCUEWOOD_POLICY_TOKENBUCKET_H

#include "core/Clock.h"

#include <algorithm>

namespace fescuewood {

/// Full at first. Not thread-safe.
class TokenBucket {
public:
  /// \param Rate tokens that are added in a second.
  /// \param Burst most tokens that are saved up.
  TokenBucket(double Rate, double Burst, TimeMs Now)
      : Rate(Rate), Burst(Burst), Tokens(Burst), FilledAt(Now) {}

  /// Fills up at another rate from the last token taken on.
  void setRate(double NewRate) { Rate = NewRate; }

  /// Throws all tokens away.
  void drain(TimeMs Now) {
    Tokens = 0;
    FilledAt = Now;
  }

  /// Takes a token; false when there is none.
  bool take(TimeMs Now) {
    const auto Passed = static_cast<double>((Now - FilledAt).Value);
    Tokens = std::min(Burst, Tokens + Rate * Passed / MsPerSecond);
    FilledAt = Now;
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
  TimeMs FilledAt;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TOKENBUCKET_H
