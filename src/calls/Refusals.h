/// \file
/// The HTTP status with which each refusal by the mesh goes to the caller.

#ifndef FESCUEWOOD_CALLS_REFUSALS_H
#define FESCUEWOOD_CALLS_REFUSALS_H

#include "core/ResultCode.h"

namespace fescuewood {

/// HTTP 503: the request may succeed later or elsewhere.
inline constexpr int ServiceUnavailable = 503;

/// The status of a refusal; 503 for a code without one of its own.
int statusOf(ResultCode Reason);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_REFUSALS_H
