/// \file
/// Counters and gauges of the call engine, for the operator port.

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

/// Histogram of durations with fixed bucket bounds.
struct LatencyHistogram {
  /// Inclusive upper bounds of the buckets, in milliseconds. A last bucket
  /// counts all longer durations.
  static constexpr std::array<std::int64_t, 12> BoundsMs = {
      1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000};

  std::array<std::uint64_t, BoundsMs.size() + 1> Counts{};
  std::uint64_t SumMs = 0;

  void add(DurationMs Span);
};

/// Numbers of answered calls by outcome.
struct OutcomeCounts {
  std::uint64_t NotRun = 0;
  std::uint64_t Ran = 0;
  std::uint64_t Unknown = 0;
};

/// A consistent copy of the engine's counters and gauges.
struct CallStatus {
  // Entry side.
  std::size_t Entered = 0;      ///< Unanswered calls that entered at this node.
  std::size_t HeldBytes = 0;    ///< Memory held by their requests.
  std::size_t JoiningBytes = 0; ///< Received so far of incomplete answers.
  std::map<ResultCode, OutcomeCounts> Results;
  std::map<std::string, std::uint64_t> RefusedByOrganisation;
  std::uint64_t Retries = 0;
  std::uint64_t Fetches = 0;
  LatencyHistogram EntryLatency; ///< From submission to answer.

  // Target side.
  TargetState State = TargetState::Cold;
  std::uint32_t InFlight = 0;
  std::uint32_t Limit = 0;
  std::uint32_t Slots = 0;
  std::size_t Queued = 0;
  std::size_t QueuedBytes = 0;
  std::uint64_t Runs = 0;
  std::uint64_t Displaced = 0;   ///< Queued requests that gave way to others.
  std::uint64_t StartedLate = 0; ///< Runs too late for their objectives.
  std::uint64_t Shed = 0;        ///< Refused for lack of time or room.
  std::uint64_t Crashes = 0;
  std::size_t Quarantined = 0; ///< Requests refused for crashing targets.
  std::size_t LedgerIds = 0;
  std::size_t KeptBytes = 0;
  std::size_t AnswerLimit = 0;         ///< Limit on all bytes of answers.
  std::size_t LinkBacklogBytes = 0;    ///< Of large answers, see PacedReplies.
  std::uint64_t LinkRefusals = 0;      ///< Requests refused as LinkBusy.
  std::uint64_t DependentRefusals = 0; ///< Refused as DependencyShort.
  std::size_t DependentRoutesLimited = 0; ///< Routes that are limited now.
  std::size_t StagedBodies = 0;   ///< Bodies that arrive ahead of their calls.
  std::size_t BodyBytes = 0;      ///< Reserved for them and for queued ones.
  std::size_t BodyLimit = 0;      ///< Limit on \ref BodyBytes.
  LatencyHistogram TargetLatency; ///< From the start of a run to its end.
  LatencyHistogram QueueWait;     ///< From arrival to the start of the run.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_CALLSTATUS_H
