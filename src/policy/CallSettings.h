/// \file
/// The `[calls]` section of the settings.
///
/// All call policies are configured from here, so that each default is defined
/// once, with its unit, and no deployment-specific value is in the code.

#ifndef FESCUEWOOD_POLICY_CALLSETTINGS_H
#define FESCUEWOOD_POLICY_CALLSETTINGS_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace fescuewood {

/// How an entry node selects a target.
enum class RoutingMode : std::uint8_t {
  TwoChoices, ///< The best of a few random candidates.
  Random,     ///< A random target of the service; for comparison.
  NearFirst,  ///< The own domain, unless another one is faster by its cost.
  /// As NearFirst, by the expected end of the run in place of its start.
  EarliestFinish,
};

/// How a node limits the concurrent requests to its target.
enum class AdmissionMode : std::uint8_t {
  Adaptive, ///< A limit that adapts to the capacity of the target.
  Slots,    ///< The declared slots.
  Off,      ///< No limit and no queue.
};

/// How an entry node reacts to a missing answer.
enum class RetryMode : std::uint8_t {
  Fetch, ///< Queries the state of the call; retries elsewhere if that is safe.
  Plain, ///< Resends the call after a timeout, whatever its state.
};

/// Which of an organisation's queued requests starts next.
enum class QueueOrder : std::uint8_t {
  Arrival,   ///< The first to arrive.
  Objective, ///< Of those that can still meet their objective, the most urgent.
};

/// Whether requests are refused because a service that they call is short.
enum class DependentMode : std::uint8_t { Off, On };

/// Settings of calls; docs/SETTINGS.md lists their bounds.
struct CallSettings {
  RoutingMode Routing = RoutingMode::TwoChoices;
  AdmissionMode Admission = AdmissionMode::Adaptive;
  RetryMode Retry = RetryMode::Fetch;

  // Routing.
  std::uint32_t Choices = 2;        ///< Candidates drawn per call, at least 1.
  DurationMs RegionCost{2};         ///< Wait added for another domain.
  DurationMs RemoteCost{40};        ///< Wait added for another region.
  DurationMs LoadMaxAge{2000};      ///< Older load reports are stale.
  DurationMs DomainRampTime{20000}; ///< From a domain's return to full load.
  DurationMs SuspectTime{3000};     ///< Initial time a silent node is avoided.

  // Call tracking.
  DurationMs HeartbeatInterval{250}; ///< Silence before the node is queried.
  DurationMs FetchTimeout{500};      ///< Timeout of one query about a call.
  std::uint32_t MaxAttempts = 4;     ///< Targets tried for an urgent call.
  DurationMs WaitLimit{60000};       ///< Longest queueing of a deferrable call.
  std::size_t MaxHeldBytes = 16 << 20; ///< Requests held by an entry node.
  double RetryShare = 0.1;             ///< Retries earned by one success.
  double RetryReserve = 10; ///< Largest number of retries in the budget.

  // Admission.
  double ColdShare = 0.34;         ///< Share of the slots when cold.
  double LatencyTolerance = 2.0;   ///< Slowdown factor tolerated.
  DurationMs CautionTime{500};     ///< Least time between decreases.
  DurationMs WarmTime{10000};      ///< Least time from cold to all slots.
  DurationMs IdleDecayTime{60000}; ///< Idle time that makes a limit cold.
  DurationMs ProbeInterval{250};   ///< Between probes of a target that is down.

  // Queue.
  QueueOrder Order = QueueOrder::Arrival;
  std::size_t MaxQueueBytes = 16 << 20; ///< Total of all queued requests.
  std::uint32_t WaitingShare = 8;       ///< One pop in this many is deferrable.

  /// Limits routes whose inner calls are lost at a service short of room.
  DependentMode Dependent = DependentMode::Off;

  // Answers.
  std::size_t MaxKeptBytes = 24 << 20; ///< All answers held, at most.
  double AnswerMemoryShare = 0.15;     ///< Of the machine's memory, for them.
  DurationMs KeepTime{20000};          ///< Lifetime of a stored answer.

  // Link.
  double LinkMbps = 0; ///< Rate of the machine's link; 0 for no scheduling.
  /// Fraction of that rate which is scheduled; the rest is for the headers of
  /// the network and for messages that are not scheduled.
  double LinkShare = 1;

  /// Scheduled rate of the link.
  double scheduledMbps() const { return LinkMbps * LinkShare; }

  // Ledger.
  std::size_t MaxLedgerIds = 200000; ///< Largest number of call ids stored.

  // Crashing requests.
  std::uint32_t CrashLimit = 2;   ///< Crashes that quarantine a request.
  DurationMs CrashMemory{600000}; ///< Lifetime of a crash mark.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CALLSETTINGS_H
