#include "check/LimitConflicts.h"

#include <cstdint>
#include <limits>
#include <string>

#include <fmt/format.h>

namespace fescuewood {

namespace {

std::string durationText(DurationMs Duration) {
  return fmt::format("{} ms", Duration.Value);
}

void checkTimes(const Route &R, Findings &Found) {
  const std::string Entry = "route " + R.Name;
  if (R.Objective > R.Timeout) {
    Found.push_back(
        {FindingKind::ObjectiveOverTimeout, Entry, "objective",
         durationText(R.Objective),
         "expected at most the timeout, " + durationText(R.Timeout)});
  }
  if (R.Timeout > MaxRouteTimeout)
    Found.push_back({FindingKind::TimeoutOverMaximum, Entry, "timeout",
                     durationText(R.Timeout),
                     "expected at most " + durationText(MaxRouteTimeout)});
  if (std::int64_t(R.MaxAttempts) * MinAttemptTime.Value > R.Timeout.Value) {
    Found.push_back(
        {FindingKind::AttemptsOverTimeout, Entry, "attempts",
         fmt::format("{}", R.MaxAttempts),
         fmt::format("the timeout, {}, leaves less than {} for each",
                     durationText(R.Timeout), durationText(MinAttemptTime))});
  }
}

/// The platform's form sets no limit on the routes' bodies, which the decoder
/// shows as the greatest number.
void checkBody(const Route &R, const CallerLimits &Limits, Findings &Found) {
  constexpr auto NoLimit = std::numeric_limits<std::size_t>::max();
  if (R.MaxBodyBytes != NoLimit && R.MaxBodyBytes > Limits.MaxBodyBytes) {
    Found.push_back({FindingKind::BodyOverCallerLimit, "route " + R.Name,
                     "body limit", fmt::format("{} bytes", R.MaxBodyBytes),
                     fmt::format("expected at most the limit of all callers, "
                                 "{} bytes",
                                 Limits.MaxBodyBytes)});
  }
}

} // namespace

Findings findLimitConflicts(const Snapshot &Config) {
  Findings Found;
  for (const Route &R : Config.Routes) {
    checkTimes(R, Found);
    if (Config.Limits)
      checkBody(R, *Config.Limits, Found);
  }
  for (const auto &[Name, R] : Config.Rates) {
    if (R.Burst < 1)
      Found.push_back({FindingKind::BurstBelowOne, "rate " + Name, "burst",
                       fmt::format("{}", R.Burst),
                       "expected at least 1, the cost of one request"});
  }
  return Found;
}

} // namespace fescuewood
