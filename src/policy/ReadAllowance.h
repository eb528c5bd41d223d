/// \file
/// Rate limit for this node's reads of the platform.
///
/// Every node may make the same number of reads in every window, and a process
/// is assumed to have used all of them just before it started. The fleet thus
/// stays within the platform's allowance in every window without coordination,
/// even when all processes start or restart at once.
///
/// The platform counts reads on arrival. The limit holds there as long as the
/// delays of reads differ by at most \ref ReadDelayVariation.

#ifndef FESCUEWOOD_POLICY_READALLOWANCE_H
#define FESCUEWOOD_POLICY_READALLOWANCE_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <deque>

namespace fescuewood {

/// Maximum difference between the network delays of two reads.
inline constexpr DurationMs ReadDelayVariation{100};

/// Sliding window over the reads of one node. Not thread-safe.
class ReadAllowance {
public:
  /// \param FleetReadsPerSecond reads that the platform allows; at least 1.
  /// \param FleetNodes maximum number of reading processes; at least 1.
  /// \param StartedAt start time of this process.
  ReadAllowance(std::uint32_t FleetReadsPerSecond, std::uint32_t FleetNodes,
                TimeMs StartedAt);

  /// Earliest time at which the next read is allowed; never before \p Now.
  TimeMs nextRead(TimeMs Now) const;

  /// Uses one read if it is allowed at \p Now; returns whether it was.
  bool take(TimeMs Now);

  /// Length of the window: 1 s, or longer when the fleet has more nodes than
  /// the platform allows reads per second.
  DurationMs window() const { return Window; }

  /// Number of reads that this node may make in every window.
  std::size_t readsPerWindow() const { return ReadsPerWindow; }

private:
  /// Time for which a read counts towards the limit.
  DurationMs span() const { return Window + ReadDelayVariation; }

  DurationMs Window;
  std::size_t ReadsPerWindow;
  std::deque<TimeMs> RecentReads; ///< The last ReadsPerWindow ones.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_READALLOWANCE_H
