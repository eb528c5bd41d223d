/// \file
/// Time in milliseconds: a point, a span and the clock that reads the point.
///
/// Decisions never read a clock; they take a \ref TimeMs argument. Only the
/// duties at the edge of the process hold a \ref Clock. Tests replace its hook
/// by a variable that they move themselves.

#ifndef FESCUEWOOD_CORE_CLOCK_H
#define FESCUEWOOD_CORE_CLOCK_H

#include <compare>
#include <cstdint>
#include <functional>
#include <limits>

namespace fescuewood {

/// A span of time in milliseconds; may be negative.
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

/// A point on a clock, in milliseconds from that clock's own origin.
struct TimeMs {
  std::int64_t Value = 0;

  constexpr TimeMs() = default;
  constexpr explicit TimeMs(std::int64_t Value) : Value(Value) {}

  constexpr auto operator<=>(const TimeMs &) const = default;
  constexpr TimeMs operator+(DurationMs Span) const {
    return TimeMs(Value + Span.Value);
  }
  constexpr TimeMs operator-(DurationMs Span) const {
    return TimeMs(Value - Span.Value);
  }
  constexpr DurationMs operator-(TimeMs Other) const {
    return DurationMs(Value - Other.Value);
  }
};

/// A point that never comes.
inline constexpr TimeMs Never{std::numeric_limits<std::int64_t>::max()};

/// Reads the present time through a hook.
class Clock {
public:
  using NowHook = std::function<TimeMs()>;

  explicit Clock(NowHook Hook) : Hook(std::move(Hook)) {}

  /// A clock that never goes back; it keeps counting while the process is
  /// stopped or the machine sleeps, so a pause shows as a gap.
  static Clock monotonic();

  /// Milliseconds since the Unix epoch; may jump. For stamps that people read.
  static Clock wall();

  TimeMs now() const { return Hook(); }

private:
  NowHook Hook;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_CLOCK_H
