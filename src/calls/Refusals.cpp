#include "calls/Refusals.h"

namespace fescuewood {

int httpStatus(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::RequestMalformed:
  case ResultCode::TargetRequestInvalid:
    return 400;
  case ResultCode::CallerUnknown:
  case ResultCode::KeyWithdrawn:
    return 401;
  case ResultCode::RouteUnknown:
    return 404;
  case ResultCode::RequestBodyTooLarge:
    return 413;
  case ResultCode::RateExceeded:
    return 429;
  case ResultCode::CallerGone:
    return 499; // Unregistered, but common in logs; never received.
  case ResultCode::AnswerLost:
  case ResultCode::CallForgotten:
  case ResultCode::TargetConnectionLost:
    return 502;
  case ResultCode::DeadlineExceeded:
  case ResultCode::TargetTimeout:
    return 504;
  case ResultCode::DepthExceeded:
    return 508;
  default:
    return ServiceUnavailable;
  }
}

int httpStatus(ResultCode Reason, Outcome RunOutcome) {
  constexpr int FirstClientError = 400;
  constexpr int BadGateway = 502;
  constexpr int GatewayTimeout = 504;
  const int Status = httpStatus(Reason);
  const bool GuaranteesNotRun =
      Status >= FirstClientError && Status < BadGateway;
  if (RunOutcome != Outcome::NotRun)
    return GuaranteesNotRun || Status == ServiceUnavailable ? BadGateway
                                                            : Status;
  return Status == BadGateway || Status == GatewayTimeout ? ServiceUnavailable
                                                          : Status;
}

} // namespace fescuewood
