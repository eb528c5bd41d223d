/// \file
/// Time points, durations and a clock, all in milliseconds.
///
/// Decision code never reads a clock; it takes a \ref TimeMs argument. Only the
/// threads that do I/O hold a \ref Clock. Tests pass a hook that returns a
/// variable under their control.

#ifndef FESCUEWOOD_CORE_CLOCK_H
#define FESCUEWOOD_CORE_CLOCK_H

#include <cmath>
#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace fescuewood {

/// Duration in milliseconds; may be negative.
struct DurationMs {
  std::int64_t Value = 0;

  constexpr DurationMs() = default;
  constexpr explicit DurationMs(std::int64_t Value) : Value(Value) {}

  constexpr auto operator<=>(const DurationMs &) const = default;
  constexpr DurationMs operator+(DurationMs Other) const {
    return DurationMs(Value + Other.Value);
  }
  constexpr DurationMs operator-(DurationMs Other) const {
    return DurationMs(Value - Other.Value);
  }
  constexpr DurationMs operator*(std::int64_t Factor) const {
    return DurationMs(Value * Factor);
  }
};

/// The duration of a number of seconds, rounded to milliseconds.
inline DurationMs fromSeconds(double Seconds) {
  constexpr double MsPerSecond = 1000;
  return DurationMs(std::llround(Seconds * MsPerSecond));
}

/// Time point in milliseconds since the epoch of the clock it was read from.
struct TimeMs {
  std::int64_t Value = 0;

  constexpr TimeMs() = default;
  constexpr explicit TimeMs(std::int64_t Value) : Value(Value) {}

  constexpr auto operator<=>(const TimeMs &) const = default;
  constexpr TimeMs operator+(DurationMs Duration) const {
    return TimeMs(Value + Duration.Value);
  }
  constexpr TimeMs operator-(DurationMs Duration) const {
    return TimeMs(Value - Duration.Value);
  }
  constexpr DurationMs operator-(TimeMs Other) const {
    return DurationMs(Value - Other.Value);
  }
};

/// Time point later than any that a clock returns.
inline constexpr TimeMs Never{std::numeric_limits<std::int64_t>::max()};

/// Returns the current time from a hook.
class Clock {
public:
  using NowHook = std::function<TimeMs()>;

  explicit Clock(NowHook Hook) : Hook(std::move(Hook)) {}

  /// Clock that never goes back. It advances while the process is stopped or
  /// the machine is suspended, so a pause shows up as a gap.
  static Clock monotonic();

  /// Milliseconds since the Unix epoch; may jump. For timestamps shown to
  /// people.
  static Clock wall();

  TimeMs now() const { return Hook(); }

private:
  NowHook Hook;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_CLOCK_H
