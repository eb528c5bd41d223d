#include "platform/PlatformScheme.h"

#include "platform/PlatformNames.h"

namespace fescuewood::platform {

HeaderScheme headerScheme() {
  HeaderScheme Scheme;
  Scheme.RequestId = "Request-Id";
  Scheme.RemainingTime = "Deadline-Ms"; // Remaining time in milliseconds.
  Scheme.Depth = "";
  Scheme.CallToken = "";
  Scheme.Organisation = "Tenant-Id";
  Scheme.OriginService = "Caller-Service";
  Scheme.TargetInstance = "Target-Instance";
  Scheme.NotRun = "Not-Executed";
  Scheme.Signature = "Response-Signature";
  Scheme.ColdFor = "Slow-Start-Ms";
  Scheme.Instance = "Instance-Id";
  Scheme.RateLimit = "Server-Limit";
  Scheme.Leaving = "Server-Leaving";
  Scheme.Key = "Authorization";
  Scheme.KeyPrefix = "token ";
  Scheme.KeyInFieldOrQuery = false;
  Scheme.UseCallTokens = false;
  Scheme.ChildIdSeparator = '.';
  Scheme.FractionalRetryAfter = true;
  return Scheme;
}

std::string readyPath() { return std::string(ReadyPath); }

} // namespace fescuewood::platform
