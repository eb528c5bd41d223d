/// \file
/// Whether an organisation's request is inside its rate.

#ifndef FESCUEWOOD_POLICY_RATEDECISION_H
#define FESCUEWOOD_POLICY_RATEDECISION_H

#include "core/Clock.h"

#include <functional>
#include <string_view>

namespace fescuewood {

/// The answer to one admission question; an admitted request was charged.
struct RateDecision {
  bool Admitted = false;
  DurationMs RetryAfter{0}; ///< Earliest time at which a retry can succeed.
};

/// Receives one decision.
using RateDecisionHook = std::function<void(RateDecision)>;

/// Charges one request to an organisation. Thread-safe and non-blocking; the
/// request may wait for tokens on their way: the hook is called exactly once,
/// at once or some milliseconds later, on any thread.
using DeferredRateHook =
    std::function<void(std::string_view Organisation, RateDecisionHook)>;

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RATEDECISION_H
