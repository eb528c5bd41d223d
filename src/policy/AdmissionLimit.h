/// \file
/// How many requests a node gives its target at once.
///
/// The limit starts low, because a freshly started target falls over under its
/// declared load, and never exceeds the declared slots. What it follows is in
/// the answers themselves: it grows while requests at the limit are answered in
/// their usual time, is cut when the target sheds, fails or slows down, and
/// falls back to its start when the target shows itself cold again. Additive
/// increase and multiplicative decrease follow Chiu and Jain (1989).

#ifndef FESCUEWOOD_POLICY_ADMISSIONLIMIT_H
#define FESCUEWOOD_POLICY_ADMISSIONLIMIT_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace fescuewood {

/// Behaviour of an \ref AdmissionLimit.
struct AdmissionSettings {
  double ColdShare = 0.34;         ///< Of the slots, at a cold start.
  double LatencyTolerance = 2.0;   ///< Times the usual latency that is fine.
  DurationMs CautionTime{500};     ///< Least time between two decreases.
  DurationMs WarmTime{10000};      ///< Least time from cold start to all slots.
  DurationMs IdleDecayTime{60000}; ///< Idleness after which a limit is cold.
};

/// How one run ended, as evidence of what the target bears.
enum class RunOutcome : std::uint8_t {
  Answered, ///< With any answer that is not a sign of overload.
  Shed,     ///< The target refused it as too much.
  Failed,   ///< With an error that may be a sign of overload.
  TimedOut, ///< No answer in time.
  Lost,     ///< The target is gone: the connection broke or was refused.
};

/// Factor by which a limit is cut when the target sheds or slows down.
inline constexpr double LimitDecrease = 0.7;

/// Slowdown against the usual latency that is taken for a cold target.
inline constexpr double ColdSlowdown = 4.0;

/// Routes whose usual latency is remembered.
inline constexpr std::size_t MaxLatencyRoutes = 256;

/// The limit of one target. Not thread-safe.
class AdmissionLimit {
public:
  AdmissionLimit(AdmissionSettings Settings, std::uint32_t Slots, TimeMs Now);

  /// Changes the declared slots.
  void setSlots(std::uint32_t Slots);

  /// Takes the end of one run.
  /// \param Route whose latency is compared with its own usual one.
  /// \param InFlight requests at the target when it ended, itself included.
  void onResult(std::string_view Route, RunOutcome Verdict, DurationMs Took,
                std::uint32_t InFlight, TimeMs Now);

  /// Starts again from cold, as after a restart of the target.
  void reset(TimeMs Now);

  /// Starts again from cold when a target that was lost is back; more slowly
  /// when it was lost while, or soon after, it warmed up.
  void restartAfterLoss(TimeMs Now);

  /// Requests that the target may hold now, from 1 to the slots.
  std::uint32_t limit(TimeMs Now);

  /// Whether the limit has not grown to the declared slots since it was cold.
  bool cold() const { return Cold; }

  std::uint32_t slots() const { return Slots; }

  /// Recent typical time of a request at the target; 0 before the first.
  DurationMs latency() const;

  /// Recent typical time of a request of this route; of any request while the
  /// route is not known.
  DurationMs latency(std::string_view Route) const;

private:
  struct RouteLatency {
    double Recent = 0; ///< Smoothed over a few requests, in milliseconds.
    double Usual = 0;  ///< Follows downwards fast and upwards slowly.
    std::uint32_t Samples = 0;
  };

  DurationMs warmTime() const;
  double startLimit() const;
  double ceiling(TimeMs Now) const;
  /// Takes a latency in and returns its slowdown against the usual one.
  double observe(std::string_view Route, DurationMs Took);
  void grow(std::uint32_t InFlight, TimeMs Now);
  void decrease(double Factor, TimeMs Now);

  AdmissionSettings Settings;
  std::uint32_t Slots;
  double Limit = 1;
  bool Cold = true;
  std::int64_t WarmFactor = 1; ///< Of the warming-up time.
  TimeMs ColdSince;
  TimeMs LastResult;
  TimeMs LastDecrease;
  double Failures = 0; ///< Smoothed share of failed runs.
  double Recent = 0;   ///< Smoothed latency over all routes, milliseconds.
  std::map<std::string, RouteLatency, std::less<>> Routes;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_ADMISSIONLIMIT_H
