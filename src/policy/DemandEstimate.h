/// \file
/// Exponentially weighted estimate of arrivals per second.

#ifndef FESCUEWOOD_POLICY_DEMANDESTIMATE_H
#define FESCUEWOOD_POLICY_DEMANDESTIMATE_H

#include "core/Clock.h"

#include <cmath>

namespace fescuewood {

/// Decays with time constant `Window`. Evaluates one exponential per arrival.
class DemandEstimate {
public:
  explicit DemandEstimate(DurationMs Window)
      : WindowMs(static_cast<double>(Window.Value)) {}

  /// Counts one arrival.
  void add(TimeMs Now) {
    decay(Now);
    PerSecond += MsPerSecond / WindowMs;
  }

  /// Arrivals per second as of \p Now.
  double rate(TimeMs Now) {
    decay(Now);
    return PerSecond;
  }

private:
  static constexpr double MsPerSecond = 1000;

  void decay(TimeMs Now) {
    if (Now <= Last)
      return;
    PerSecond *= std::exp(-static_cast<double>((Now - Last).Value) / WindowMs);
    Last = Now;
  }

  double WindowMs;
  double PerSecond = 0;
  TimeMs Last;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_DEMANDESTIMATE_H
