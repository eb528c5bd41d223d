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

/// Charges one request to an organisation. Thread-safe and non-blocking.
using RateHook = std::function<RateDecision(std::string_view Organisation)>;

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RATEDECISION_H
