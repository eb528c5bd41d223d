/// \file
/// Hybrid logical clock: timestamps that respect causality between nodes and
/// stay close to wall time.
///
/// Call \ref HybridClock::stamp for each event or message sent, and pass each
/// received timestamp to \ref HybridClock::merge before handling the message.
/// An effect then always has a larger timestamp than its cause, whatever the
/// clock skew between machines. See S. Kulkarni et al., "Logical Physical
/// Clocks and Consistent Snapshots in Globally Distributed Databases" (2014).

#ifndef FESCUEWOOD_CORE_HYBRIDCLOCK_H
#define FESCUEWOOD_CORE_HYBRIDCLOCK_H

#include "core/Clock.h"

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>

namespace fescuewood {

/// Hybrid timestamp: wall time and a counter within one millisecond.
struct HybridTime {
  std::int64_t WallMs = 0;
  std::uint16_t Counter = 0;

  auto operator<=>(const HybridTime &) const = default;

  /// Encodes the timestamp as one integer with the same order, for the wire
  /// format and the timeline.
  std::uint64_t packed() const;

  /// Decodes the result of \ref packed.
  static HybridTime unpack(std::uint64_t Packed);

  /// "milliseconds.counter", as shown in the timeline.
  std::string text() const;
};

/// Maximum lead of a merged timestamp over the local wall clock.
inline constexpr DurationMs MaxClockLead{60 * 1000};

/// Issues and merges hybrid timestamps. Thread-safe.
class HybridClock {
public:
  /// \param Wall milliseconds since the epoch; may jump.
  /// \param MaxLead maximum lead of a merged timestamp over \p Wall.
  explicit HybridClock(Clock Wall = Clock::wall(),
                       DurationMs MaxLead = MaxClockLead);

  /// Returns a timestamp larger than every one issued or merged before.
  HybridTime stamp();

  /// Merges a received timestamp. Returns false and ignores it when it leads
  /// the local wall clock by more than the limit, so that one node with a
  /// broken clock cannot advance the timestamps of the whole fleet.
  bool merge(HybridTime Remote);

private:
  void advance();

  Clock Wall;
  DurationMs MaxLead;
  std::mutex Mutex;
  HybridTime Last;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_HYBRIDCLOCK_H
