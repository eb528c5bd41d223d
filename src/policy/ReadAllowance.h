/// \file
/// One node's part of the platform's read allowance.
///
/// Every node is allowed the same number of reads in every window, and a
/// process counts as having used them all just before it started. So the whole
/// fleet stays inside the allowance in every window, also when every process
/// starts or restarts at once, without any node knowing of another.
///
/// The platform counts reads when they arrive. The promise holds there as long
/// as some reads travel at most \ref ReadDelayVariation longer than others.

#ifndef FESCUEWOOD_POLICY_READALLOWANCE_H
#define FESCUEWOOD_POLICY_READALLOWANCE_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace fescuewood {

/// How much later than another a read may arrive that was made at the same
/// time.
inline constexpr DurationMs ReadDelayVariation{100};

/// A sliding window over one node's own reads.
class ReadAllowance {
public:
  /// \param FleetReadsPerSecond what the platform bears; at least 1.
  /// \param FleetNodes most processes that may read; at least 1.
  /// \param StartedAt when this process started.
  ReadAllowance(std::uint32_t FleetReadsPerSecond, std::uint32_t FleetNodes,
                TimeMs StartedAt);

  /// Earliest time at which the next read is allowed; never before \p Now.
  TimeMs nextRead(TimeMs Now) const;

  /// Takes one read if it is allowed at \p Now.
  bool take(TimeMs Now);

  /// The window that the promise holds for: 1 s, or longer when the fleet has
  /// more nodes than the allowance has reads in a second.
  DurationMs window() const { return Window; }

  /// Reads that this node may make in every window.
  std::size_t readsPerWindow() const { return ReadsPerWindow; }

private:
  /// Time after which a read no longer counts.
  DurationMs span() const { return Window + ReadDelayVariation; }

  DurationMs Window;
  std::size_t ReadsPerWindow;
  std::deque<TimeMs> RecentReads; ///< The last ReadsPerWindow reads.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_READALLOWANCE_H
