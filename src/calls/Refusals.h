/// \file
/// The HTTP status with which each refusal by the mesh goes to the caller.

#ifndef FESCUEWOOD_CALLS_REFUSALS_H
#define FESCUEWOOD_CALLS_REFUSALS_H

#include "calls/Call.h"
#include "core/ResultCode.h"

namespace fescuewood {

/// HTTP 503: the request may succeed later or elsewhere.
inline constexpr int ServiceUnavailable = 503;

/// The status of a refusal; 503 for a code without one of its own.
int statusOf(ResultCode Reason);

/// The status of a refusal by what is known of the request. 503 and the 4xx
/// promise that it has not run; 502 and 504 promise nothing and are kept for
/// requests that may have.
int statusOf(ResultCode Reason, Outcome Ran);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_REFUSALS_H
