#include "policy/NamedLimit.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

constexpr double MsPerSecond = 1000;

/// Time by which requests may start before their turn, so that arrivals at
/// irregular intervals use the whole rate.
constexpr double ToleranceMs = 250;

/// Least rate that is kept to, in requests per second. The answer to a rare
/// request shows when a target that takes nothing takes requests again.
constexpr double MinRate = 0.25;

double milliseconds(TimeMs Time) { return static_cast<double>(Time.Value); }

} // namespace

bool NamedLimit::update(const TargetNotice &Notice, TimeMs SentAt, TimeMs Now) {
  if (Notice.LimitUnreadable)
    return false;
  if (!Notice.RequestsPerSecond) {
    if (!Rate || SentAt < NamedAt)
      return false;
    clear();
    return true;
  }
  NamedAt = Now;
  if (Rate == Notice.RequestsPerSecond)
    return false;
  const double UsedIntervals = Rate ? usedIntervals(Now) : 0;
  Rate = Notice.RequestsPerSecond;
  // Started requests use up as many intervals of this rate as of the one
  // before, but none delays the next request beyond its turn.
  UsedUntilMs = milliseconds(Now) + std::min(UsedIntervals * intervalMs(),
                                             intervalMs() + ToleranceMs);
  return true;
}

/// Number of intervals of the present rate that started requests still use.
double NamedLimit::usedIntervals(TimeMs Now) const {
  return std::max(0.0, UsedUntilMs - milliseconds(Now)) / intervalMs();
}

void NamedLimit::clear() {
  Rate.reset();
  UsedUntilMs = 0;
}

bool NamedLimit::mayStart(TimeMs Now) const {
  return !Rate || milliseconds(Now) >= UsedUntilMs - ToleranceMs;
}

void NamedLimit::onStart(TimeMs Now) {
  if (Rate)
    UsedUntilMs = std::max(UsedUntilMs, milliseconds(Now)) + intervalMs();
}

DurationMs NamedLimit::wait(std::size_t Ahead, TimeMs Now) const {
  if (!Rate)
    return DurationMs(0);
  const double Start = std::max(UsedUntilMs, milliseconds(Now)) +
                       static_cast<double>(Ahead) * intervalMs() - ToleranceMs;
  return DurationMs(
      std::llround(std::max(0.0, std::ceil(Start - milliseconds(Now)))));
}

DurationMs NamedLimit::interval() const {
  return DurationMs(std::llround(intervalMs()));
}

double NamedLimit::intervalMs() const {
  return MsPerSecond / std::max(*Rate, MinRate);
}

} // namespace fescuewood
