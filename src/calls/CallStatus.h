/// \file
/// Figures of the calls duty, for the operator port.

#ifndef FESCUEWOOD_CALLS_CALLSTATUS_H
#define FESCUEWOOD_CALLS_CALLSTATUS_H

#include "core/Clock.h"
#include "core/ResultCode.h"
#include "policy/Instance.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

namespace fescuewood {

/// Counts of durations in buckets of fixed bounds.
struct LatencyHistogram {
  /// Upper bounds of the buckets in milliseconds; the last bucket has none.
  static constexpr std::array<std::int64_t, 12> BoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

  std::array<std::uint64_t, BoundsMs.size() + 1> Counts{};
  std::uint64_t SumMs = 0;

  void add(DurationMs Span);
};

/// Answers to the calls that entered at this node, by result.
struct OutcomeCounts {
  std::uint64_t NotRun = 0;
  std::uint64_t Ran = 0;
  std::uint64_t Unknown = 0;
};

/// A consistent copy of the duty's figures.
struct CallStatus {
  // Entry side.
  std::size_t Entered = 0;   ///< Calls that wait for their answer here.
  std::size_t HeldBytes = 0; ///< Of their requests.
  std::map<ResultCode, OutcomeCounts> Results;
  std::map<std::string, std::uint64_t> RefusedByOrganisation;
  std::uint64_t Retries = 0;
  std::uint64_t Fetches = 0;
  LatencyHistogram EntryLatency; ///< Submitted to answered.

  // Target side.
  TargetState State = TargetState::Cold;
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0;
  std::uint32_t Slots = 0;
  std::size_t Queued = 0;
  std::size_t QueuedBytes = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Crashes = 0;
  std::size_t Quarantined = 0; ///< Requests that are refused as crashing.
  std::size_t LedgerIds = 0;
  std::size_t KeptBytes = 0;
  LatencyHistogram TargetLatency; ///< Given to the target to answered.
  LatencyHistogram QueueWait;     ///< Arrived to given to the target.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLSTATUS_H
