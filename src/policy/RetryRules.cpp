#include "policy/RetryRules.h"

namespace fescuewood {

bool isFreeToRetry(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::TargetDraining:
  case ResultCode::TargetDown:
  case ResultCode::TargetUnreachable:
  case ResultCode::DomainOut:
  case ResultCode::TargetUnlisted:
  case ResultCode::NoTargetAvailable:
  case ResultCode::CallFenced:
  case ResultCode::StagedBodyMissing:
    return true;
  default:
    return false;
  }
}

bool isUnusableAnswer(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::TargetConnectionLost:
  case ResultCode::TargetAnswerForeign:
  case ResultCode::TargetAnswerUnproven:
  case ResultCode::TargetAnswerMalformed:
    return true;
  default:
    return false;
  }
}

bool isTransientFailure(int Status) {
  constexpr int InternalError = 500;
  constexpr int BadGateway = 502;
  constexpr int Unavailable = 503;
  return Status == InternalError || Status == BadGateway ||
         Status == Unavailable;
}

bool isFinal(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::RequestCrashesTargets:
  case ResultCode::KeyWithdrawn:
  case ResultCode::CallerGone:
  case ResultCode::TargetRequestInvalid:
    return true;
  default:
    return false;
  }
}

bool isSharedShortage(ResultCode Reason) {
  return Reason == ResultCode::DependencyShort;
}

bool isLackOfTime(ResultCode Reason) {
  return Reason == ResultCode::DeadlineUnreachable ||
         Reason == ResultCode::Displaced;
}

bool isRepeatFutile(ResultCode Reason) {
  return isLackOfTime(Reason) || Reason == ResultCode::LinkBusy ||
         Reason == ResultCode::TargetRateUsed;
}

} // namespace fescuewood
