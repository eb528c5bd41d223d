/// \file
/// Decision whether a request is within its organisation's rate, and the hooks
/// that request and receive it.

#ifndef FESCUEWOOD_POLICY_RATEDECISION_H
#define FESCUEWOOD_POLICY_RATEDECISION_H

#include "core/Clock.h"

#include <cstdint>
#include <functional>
#include <string_view>

namespace fescuewood {

/// Result of charging one request; an admitted request has used one token.
struct RateDecision {
  bool Admitted = false;
  DurationMs RetryAfter{0}; ///< Delay after which a retry can succeed.
  /// Bucket to which the token of an admitted request may be returned; 0 for
  /// none.
  std::uint64_t Bucket = 0;
};

/// Receives one decision.
using RateDecisionHook = std::function<void(RateDecision)>;

/// Charges one request to an organisation. Thread-safe and non-blocking. The
/// decision hook is called exactly once, on any thread: immediately, or some
/// milliseconds later if the request waits for tokens from other nodes.
using DeferredRateHook =
    std::function<void(std::string_view Organisation, RateDecisionHook)>;

/// Returns the token of an admitted request that has not run and never will.
/// Thread-safe and non-blocking; calls no other hook.
using TokenReturnHook = std::function<void(std::string_view Organisation,
                                           const RateDecision &Decision)>;

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RATEDECISION_H
