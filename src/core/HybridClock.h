/// \file
/// Hybrid logical clock: stamps that follow cause and effect between nodes and
/// stay close to wall time.
///
/// Take \ref HybridClock::stamp for each event or message sent, and hand each
/// stamp received to \ref HybridClock::merge before acting on the message. An
/// effect then always has a larger stamp than its cause, whatever the skew of
/// the machines' clocks. After S. Kulkarni et al., "Logical Physical Clocks and
/// Consistent Snapshots in Globally Distributed Databases" (2014).

#ifndef FESCUEWOOD_CORE_HYBRIDCLOCK_H
#define FESCUEWOOD_CORE_HYBRIDCLOCK_H

#include "core/Clock.h"

#include <compare>
#include <cstdint>
#include <mutex>
#include <string>

namespace fescuewood {

/// A stamp: wall milliseconds, then a counter among stamps of one millisecond.
struct HybridTime {
  std::int64_t WallMs = 0;
  std::uint16_t Counter = 0;

  auto operator<=>(const HybridTime &) const = default;

  /// One number that orders as the stamp does; for the wire and the time line.
  std::uint64_t packed() const;

  /// Reverses \ref packed.
  static HybridTime unpack(std::uint64_t Packed);

  /// "milliseconds.counter", as the time line shows it.
  std::string text() const;
};

/// Largest lead of a peer's stamp over the own wall clock that is taken over.
inline constexpr DurationMs MaxClockLead{60 * 1000};

/// Issues and merges stamps. Thread-safe.
class HybridClock {
public:
  /// \param Wall milliseconds since the epoch; may jump.
  /// \param MaxLead how far ahead of \p Wall a merged stamp may be.
  explicit HybridClock(Clock Wall = Clock::wall(),
                       DurationMs MaxLead = MaxClockLead);

  /// A stamp larger than every one issued or merged before.
  HybridTime stamp();

  /// Takes a received stamp into account. Returns false, and ignores it, when
  /// it leads the own wall clock by more than the limit: one node with a
  /// broken clock must not pull the whole fleet's stamps along.
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
