#include "policy/AdmissionLimit.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

/// Weight of one request in the smoothed recent latency.
constexpr double RecentWeight = 1.0 / 8;

/// Weights with which the usual latency follows the recent one.
constexpr double UsualFall = 1.0 / 16;
constexpr double UsualRise = 1.0 / 512;

/// Requests of a route before its usual latency is trusted.
constexpr std::uint32_t LeastSamples = 16;

/// Added to latencies before they are compared, in milliseconds, so that the
/// clock's resolution is not taken for a slowdown.
constexpr double LatencyFloor = 2.0;

/// Weight of one run in the smoothed share of failures, and the share above
/// which the limit is cut.
constexpr double FailureWeight = 1.0 / 16;
constexpr double FailureShare = 0.3;

/// The limit grows by one in this many full rounds of the target.
constexpr double RoundsPerStep = 2.0;

constexpr double TimeoutDecrease = 0.5;

/// Longest warming up, in times of the setting.
constexpr std::int64_t MaxWarmFactor = 16;

/// Warming-up times after which a loss is not blamed on the warming up.
constexpr std::int64_t TrustedAfter = 3;

} // namespace

AdmissionLimit::AdmissionLimit(AdmissionSettings Settings, std::uint32_t Slots,
                               TimeMs Now)
    : Settings(Settings), Slots(std::max(1U, Slots)) {
  reset(Now);
}

void AdmissionLimit::setSlots(std::uint32_t Next) {
  Slots = std::max(1U, Next);
  if (Cold && Limit < startLimit())
    Limit = startLimit();
  Limit = std::min(Limit, static_cast<double>(Slots));
}

void AdmissionLimit::onResult(std::string_view Route, RunOutcome Verdict,
                              DurationMs Took, std::uint32_t InFlight,
                              TimeMs Now) {
  LastResult = Now;
  if (Verdict == RunOutcome::Lost) {
    Limit = startLimit();
    Cold = true;
    return;
  }
  const bool Failed = Verdict == RunOutcome::Failed;
  Failures += FailureWeight * ((Failed ? 1.0 : 0.0) - Failures);
  if (Verdict == RunOutcome::Shed) {
    decrease(LimitDecrease, Now);
    return;
  }
  if (Verdict == RunOutcome::TimedOut) {
    // A request that had little time left says nothing about the target.
    if (static_cast<double>(Took.Value) > ColdSlowdown * Recent)
      decrease(TimeoutDecrease, Now);
    return;
  }
  const double Slowdown = observe(Route, Took);
  if (Slowdown > ColdSlowdown && Limit > startLimit()) {
    reset(Now);
    return;
  }
  if (Slowdown > Settings.LatencyTolerance || Failures > FailureShare) {
    decrease(LimitDecrease, Now);
    return;
  }
  if (!Failed)
    grow(InFlight, Now);
}

void AdmissionLimit::restartAfterLoss(TimeMs Now) {
  // A target that is lost while, or soon after, it was warmed up was given too
  // much too soon; one that is lost later is not blamed on the warming up.
  const DurationMs Trusted = warmTime() * TrustedAfter;
  if (Now - ColdSince < Trusted)
    WarmFactor = std::min(WarmFactor * 2, MaxWarmFactor);
  else
    WarmFactor = 1;
  reset(Now);
}

DurationMs AdmissionLimit::warmTime() const {
  return Settings.WarmTime * WarmFactor;
}

void AdmissionLimit::reset(TimeMs Now) {
  Limit = startLimit();
  Cold = true;
  ColdSince = Now;
  LastResult = Now;
  LastDecrease = Now;
  Failures = 0;
}

std::uint32_t AdmissionLimit::limit(TimeMs Now) {
  if (Now - LastResult > Settings.IdleDecayTime && Limit > startLimit())
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

double AdmissionLimit::startLimit() const {
  return std::max(1.0, std::floor(Settings.ColdShare * Slots));
}

double AdmissionLimit::ceiling(TimeMs Now) const {
  if (!Cold || Settings.WarmTime <= DurationMs(0))
    return Slots;
  const double Warm = static_cast<double>((Now - ColdSince).Value) /
                      static_cast<double>(warmTime().Value);
  return startLimit() + std::min(1.0, Warm) * (Slots - startLimit());
}

double AdmissionLimit::observe(std::string_view Route, DurationMs Took) {
  const double Value =
      static_cast<double>(std::max<std::int64_t>(0, Took.Value));
  Recent += Recent == 0 ? Value : RecentWeight * (Value - Recent);
  auto Found = Routes.find(Route);
  if (Found == Routes.end()) {
    if (Routes.size() >= MaxLatencyRoutes)
      return 1;
    Found = Routes.emplace(std::string(Route), RouteLatency{}).first;
    Found->second.Recent = Value;
    Found->second.Usual = Value;
  }
  RouteLatency &Entry = Found->second;
  ++Entry.Samples;
  Entry.Recent += RecentWeight * (Value - Entry.Recent);
  const double Weight = Entry.Recent < Entry.Usual ? UsualFall : UsualRise;
  Entry.Usual += Weight * (Entry.Recent - Entry.Usual);
  if (Entry.Samples < LeastSamples)
    return 1;
  return (Entry.Recent + LatencyFloor) / (Entry.Usual + LatencyFloor);
}

void AdmissionLimit::grow(std::uint32_t InFlight, TimeMs Now) {
  // Answers below the limit say nothing about what the target bears above it.
  if (static_cast<double>(InFlight) + 1 <= Limit)
    return;
  Limit = std::min(Limit + 1 / (RoundsPerStep * Limit), ceiling(Now));
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
  // Growth after a cut is as careful as after a cold start.
  if (Limit <= startLimit()) {
    Cold = true;
    ColdSince = Now;
  }
}

} // namespace fescuewood
