/// \file
/// Adaptive concurrency limit of one target.
///
/// The limit starts low, because a freshly started target fails under its
/// declared load, and never exceeds the declared slots. It is derived from the
/// results of requests: it grows while requests at the limit are answered with
/// their baseline latency, decreases when the target sheds load, fails or slows
/// down, and returns to its initial value when the target appears to be cold
/// again. Additive increase and multiplicative decrease follow Chiu and Jain
/// (1989).

#ifndef FESCUEWOOD_POLICY_ADMISSIONLIMIT_H
#define FESCUEWOOD_POLICY_ADMISSIONLIMIT_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fescuewood {

/// Configuration of an \ref AdmissionLimit.
struct AdmissionSettings {
  double ColdShare = 0.34;         ///< Share of the slots when cold.
  double LatencyTolerance = 2.0;   ///< Slowdown factor tolerated.
  DurationMs CautionTime{500};     ///< Least time between decreases.
  DurationMs WarmTime{10000};      ///< Least time from cold to all slots.
  DurationMs IdleDecayTime{60000}; ///< Idle time that makes a limit cold.
};

/// Result of one run, as evidence of the capacity of the target.
enum class RunOutcome : std::uint8_t {
  Answered, ///< An answer that is no sign of overload.
  Shed,     ///< The target rejected it as overload.
  Failed,   ///< An error that may be a sign of overload.
  TimedOut, ///< No answer before the deadline.
  Lost,     ///< The connection broke or was refused.
};

/// Factor on the limit when the target sheds load or slows down.
inline constexpr double LimitDecrease = 0.7;

/// Slowdown against the baseline latency that indicates a cold target.
inline constexpr double ColdSlowdown = 4.0;

/// Largest number of routes whose baseline latency is tracked.
inline constexpr std::size_t MaxLatencyRoutes = 256;

/// Concurrency limit of one target. Not thread-safe.
class AdmissionLimit {
public:
  AdmissionLimit(AdmissionSettings Settings, std::uint32_t Slots, TimeMs Now);

  /// Changes the declared slots.
  void setSlots(std::uint32_t Slots);

  /// Adapts the limit to the result of one run.
  /// \param Route route of the run; latencies are compared within a route.
  /// \param InFlight requests at the target when the run ended, including it.
  void onResult(std::string_view Route, RunOutcome Outcome, DurationMs Latency,
                std::uint32_t InFlight, TimeMs Now);

  /// Resets to the cold state, as after a restart of the target.
  void reset(TimeMs Now);

  /// Resets to the cold state when a lost target has returned. Warms up more
  /// slowly than before if the target was lost during or soon after warm-up.
  void restartAfterLoss(TimeMs Now);

  /// Number of concurrent requests currently allowed, from 1 to the slots.
  std::uint32_t limit(TimeMs Now);

  /// Whether the limit has yet to reach the declared slots since the last cold
  /// state.
  bool cold() const { return Cold; }

  std::uint32_t slots() const { return Slots; }

  /// Smoothed latency of the target; 0 before the first request.
  DurationMs latency() const;

  /// Smoothed latency of a route, or of the whole target if the route is not
  /// known.
  DurationMs latency(std::string_view Route) const;

private:
  struct RouteLatency {
    double Recent = 0;   ///< Smoothed over a few requests, in ms.
    double Baseline = 0; ///< Follows Recent down fast and up slowly, in ms.
    std::uint32_t Samples = 0;
  };

  DurationMs warmUpTime() const;
  double initialLimit() const;
  double ceiling(TimeMs Now) const;
  /// Records a latency and returns its slowdown against the baseline.
  double recordLatency(std::string_view Route, DurationMs Latency);
  void grow(std::uint32_t InFlight, TimeMs Now);
  void decrease(double Factor, TimeMs Now);

  AdmissionSettings Settings;
  std::uint32_t Slots;
  double Limit = 1;
  bool Cold = true;
  std::int64_t WarmUpFactor = 1; ///< Factor on the warm-up time.
  TimeMs ColdSince;
  TimeMs LastResult;
  TimeMs LastDecrease;
  double FailureRate = 0; ///< Exponentially smoothed, from 0 to 1.
  double Recent = 0;      ///< Smoothed latency over all routes, in ms.
  std::map<std::string, RouteLatency, std::less<>> Routes;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_ADMISSIONLIMIT_H
