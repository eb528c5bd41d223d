#include "policy/AdmissionLimit.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

/// Weight of one request in the smoothed recent latency.
constexpr double RecentWeight = 1.0 / 8;

/// Weights of the recent latency in the baseline, by direction.
constexpr double BaselineFallWeight = 1.0 / 16;
constexpr double BaselineRiseWeight = 1.0 / 512;

/// Samples of a route before its baseline latency is used.
constexpr std::uint32_t MinSamples = 16;

/// Added to both latencies before they are compared, so that the resolution of
/// the clock does not appear as a slowdown.
constexpr double LatencyOffsetMs = 2.0;

/// Weight of one run in the smoothed failure rate, and the rate above which the
/// limit decreases.
constexpr double FailureWeight = 1.0 / 16;
constexpr double MaxFailureRate = 0.3;

/// Rounds of `limit` requests in which the limit grows by one.
constexpr double RoundsPerIncrement = 2.0;

/// Factor on the limit after a timeout.
constexpr double TimeoutDecrease = 0.5;

/// Longest warm-up, as a multiple of the configured time.
constexpr std::int64_t MaxWarmUpFactor = 16;

/// Time since the cold state after which a loss is not attributed to warm-up,
/// as a multiple of the warm-up time.
constexpr std::int64_t WarmUpLossFactor = 3;

} // namespace

AdmissionLimit::AdmissionLimit(AdmissionSettings Settings, std::uint32_t Slots,
                               TimeMs Now)
    : Settings(Settings), Slots(std::max(1U, Slots)) {
  reset(Now);
}

void AdmissionLimit::setSlots(std::uint32_t Next) {
  Slots = std::max(1U, Next);
  if (Cold && Limit < initialLimit())
    Limit = initialLimit();
  Limit = std::min(Limit, static_cast<double>(Slots));
}

void AdmissionLimit::onResult(std::string_view Route, RunOutcome Outcome,
                              DurationMs Latency, std::uint32_t InFlight,
                              TimeMs Now) {
  LastResult = Now;
  if (Outcome == RunOutcome::Lost) {
    Limit = initialLimit();
    Cold = true;
    return;
  }
  const bool Failed = Outcome == RunOutcome::Failed;
  FailureRate += FailureWeight * ((Failed ? 1.0 : 0.0) - FailureRate);
  if (Outcome == RunOutcome::Shed) {
    decrease(LimitDecrease, Now);
    return;
  }
  if (Outcome == RunOutcome::TimedOut) {
    // A timeout after a short deadline is no evidence of overload.
    if (static_cast<double>(Latency.Value) > ColdSlowdown * Recent)
      decrease(TimeoutDecrease, Now);
    return;
  }
  const double Slowdown = recordLatency(Route, Latency);
  if (Slowdown > ColdSlowdown && Limit > initialLimit()) {
    reset(Now);
    return;
  }
  if (Slowdown > Settings.LatencyTolerance || FailureRate > MaxFailureRate) {
    decrease(LimitDecrease, Now);
    return;
  }
  if (!Failed)
    grow(InFlight, Now);
}

void AdmissionLimit::restartAfterLoss(TimeMs Now) {
  // A target that is lost during or soon after warm-up was loaded too fast; a
  // later loss has other causes.
  const DurationMs WarmUpLossWindow = warmUpTime() * WarmUpLossFactor;
  if (Now - ColdSince < WarmUpLossWindow)
    WarmUpFactor = std::min(WarmUpFactor * 2, MaxWarmUpFactor);
  else
    WarmUpFactor = 1;
  reset(Now);
}

DurationMs AdmissionLimit::warmUpTime() const {
  return Settings.WarmTime * WarmUpFactor;
}

void AdmissionLimit::reset(TimeMs Now) {
  Limit = initialLimit();
  Cold = true;
  ColdSince = Now;
  LastResult = Now;
  LastDecrease = Now;
  FailureRate = 0;
}

std::uint32_t AdmissionLimit::limit(TimeMs Now) {
  if (Now - LastResult > Settings.IdleDecayTime && Limit > initialLimit())
    reset(Now);
  const double Bound = std::min(Limit, ceiling(Now));
  return std::clamp(static_cast<std::uint32_t>(Bound), 1U, Slots);
}

DurationMs AdmissionLimit::latency() const {
  return DurationMs(std::llround(Recent));
}

DurationMs AdmissionLimit::latency(std::string_view Route) const {
  const auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return latency();
  return DurationMs(std::llround(Found->second.Recent));
}

double AdmissionLimit::initialLimit() const {
  return std::max(1.0, std::floor(Settings.ColdShare * Slots));
}

double AdmissionLimit::ceiling(TimeMs Now) const {
  if (!Cold || Settings.WarmTime <= DurationMs(0))
    return Slots;
  const double WarmUpProgress = static_cast<double>((Now - ColdSince).Value) /
                                static_cast<double>(warmUpTime().Value);
  return initialLimit() +
         std::min(1.0, WarmUpProgress) * (Slots - initialLimit());
}

double AdmissionLimit::recordLatency(std::string_view Route,
                                     DurationMs Latency) {
  const double Value =
      static_cast<double>(std::max<std::int64_t>(0, Latency.Value));
  Recent += Recent == 0 ? Value : RecentWeight * (Value - Recent);
  auto Found = Routes.find(Route);
  if (Found == Routes.end()) {
    if (Routes.size() >= MaxLatencyRoutes)
      return 1;
    Found = Routes.emplace(std::string(Route), RouteLatency{}).first;
    Found->second.Recent = Value;
    Found->second.Baseline = Value;
  }
  RouteLatency &Entry = Found->second;
  ++Entry.Samples;
  Entry.Recent += RecentWeight * (Value - Entry.Recent);
  const double Weight =
      Entry.Recent < Entry.Baseline ? BaselineFallWeight : BaselineRiseWeight;
  Entry.Baseline += Weight * (Entry.Recent - Entry.Baseline);
  if (Entry.Samples < MinSamples)
    return 1;
  return (Entry.Recent + LatencyOffsetMs) / (Entry.Baseline + LatencyOffsetMs);
}

void AdmissionLimit::grow(std::uint32_t InFlight, TimeMs Now) {
  // Answers below the limit are no evidence of capacity above it.
  if (static_cast<double>(InFlight) + 1 <= Limit)
    return;
  Limit = std::min(Limit + 1 / (RoundsPerIncrement * Limit), ceiling(Now));
  if (Limit + 0.01 >= Slots) {
    Limit = Slots;
    Cold = false;
  }
}

void AdmissionLimit::decrease(double Factor, TimeMs Now) {
  if (Now - LastDecrease < Settings.CautionTime)
    return;
  LastDecrease = Now;
  Limit = std::max(1.0, Limit * Factor);
  // After a decrease to the initial limit, growth is as slow as after a cold
  // start.
  if (Limit <= initialLimit()) {
    Cold = true;
    ColdSince = Now;
  }
}

} // namespace fescuewood
