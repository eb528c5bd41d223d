/// \file
/// HTTP status codes of refusals by the mesh.

#ifndef FESCUEWOOD_CALLS_REFUSALS_H
#define FESCUEWOOD_CALLS_REFUSALS_H

#include "calls/Call.h"
#include "core/ResultCode.h"

namespace fescuewood {

/// HTTP 503: the request may succeed later or on another target.
inline constexpr int ServiceUnavailable = 503;

/// The HTTP status of a refusal; 503 for reasons without a specific status.
int httpStatus(ResultCode Reason);

/// The HTTP status of a refusal, given the outcome of the request. 503 and 4xx
/// guarantee that the request has not run; 502 and 504 guarantee nothing and
/// are used only for requests that may have run.
int httpStatus(ResultCode Reason, Outcome RunOutcome);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_REFUSALS_H
