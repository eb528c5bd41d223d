#include "policy/ReadAllowance.h"

#include <algorithm>

namespace fescuewood {

namespace {

constexpr std::int64_t MsPerSecond = 1000;

/// Smallest number of whole seconds in which every node may read once.
std::int64_t windowSeconds(std::uint32_t Reads, std::uint32_t Nodes) {
  return (static_cast<std::int64_t>(Nodes) + Reads - 1) / Reads;
}

} // namespace

ReadAllowance::ReadAllowance(std::uint32_t FleetReadsPerSecond,
                             std::uint32_t FleetNodes, TimeMs StartedAt)
    : Window(windowSeconds(FleetReadsPerSecond, FleetNodes) * MsPerSecond),
      ReadsPerWindow(static_cast<std::size_t>(
          windowSeconds(FleetReadsPerSecond, FleetNodes) * FleetReadsPerSecond /
          FleetNodes)),
      // The reads of an earlier process of this instance are unknown, so the
      // maximum is assumed.
      RecentReads(ReadsPerWindow, StartedAt) {}

TimeMs ReadAllowance::nextRead(TimeMs Now) const {
  return std::max(Now, RecentReads.front() + span());
}

bool ReadAllowance::take(TimeMs Now) {
  if (nextRead(Now) > Now)
    return false;
  RecentReads.pop_front();
  RecentReads.push_back(Now);
  return true;
}

} // namespace fescuewood
