/// \file
/// What the result of one attempt of a call says about another attempt.

#ifndef FESCUEWOOD_POLICY_RETRYRULES_H
#define FESCUEWOOD_POLICY_RETRYRULES_H

#include "core/ResultCode.h"

namespace fescuewood {

/// Whether a refusal is unrelated to load, so that a retry costs no retry
/// budget.
bool isFreeToRetry(ResultCode Reason);

/// Whether a run ended without a usable answer, so that a retry on another
/// target may succeed.
bool isUnusableAnswer(ResultCode Reason);

/// Whether an HTTP status from a target may indicate a transient failure of
/// that target.
bool isTransientFailure(int Status);

/// Whether every target would refuse the call for the same reason.
bool isFinal(ResultCode Reason);

/// Whether the refusal is for a shortage that the other targets of the service
/// see as well.
bool isSharedShortage(ResultCode Reason);

/// Whether a target refused the call because it serves others in the time that
/// the call has left.
bool isLackOfTime(ResultCode Reason);

/// Whether targets that were tried would give the same refusal again if they
/// were tried once more in the time of the call.
bool isRepeatFutile(ResultCode Reason);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RETRYRULES_H
