/// \file
/// What operators may set about calls: the `[calls]` section of the settings.
///
/// Every policy of calls takes its numbers from here, so that a default stands
/// once, with its unit, and no value of one deployment is written into code.

#ifndef FESCUEWOOD_POLICY_CALLSETTINGS_H
#define FESCUEWOOD_POLICY_CALLSETTINGS_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>

namespace fescuewood {

/// How an entry node picks a target. The others are for comparison.
enum class RoutingMode : std::uint8_t {
  TwoChoices, ///< The better of a few random candidates.
  Random,     ///< Any target of the service.
  NearFirst,  ///< The own domain's, while others would not gain enough.
};

/// How many requests a node gives its target at once.
enum class AdmissionMode : std::uint8_t {
  Adaptive, ///< A limit that follows what the target bears.
  Slots,    ///< Always the declared slots.
  Off,      ///< No limit and no queue.
};

/// What an entry node does when no answer comes.
enum class RetryMode : std::uint8_t {
  Fetch, ///< Asks what became of the call, and moves it when that is safe.
  Plain, ///< Sends it again after a while, whatever became of it.
};

/// Settings of the calls duty; see docs/SETTINGS.md for bounds.
struct CallSettings {
  RoutingMode Routing = RoutingMode::TwoChoices;
  AdmissionMode Admission = AdmissionMode::Adaptive;
  RetryMode Retry = RetryMode::Fetch;

  // Routing.
  std::uint32_t Choices = 2;        ///< Candidates compared, at least 1.
  DurationMs RegionCost{2};         ///< Added wait of another domain.
  DurationMs RemoteCost{40};        ///< Added wait of another region.
  DurationMs LoadMaxAge{2000};      ///< A load report older is not believed.
  DurationMs DomainRampTime{20000}; ///< From a domain's return to full load.
  DurationMs SuspectTime{3000};     ///< A silent node is avoided this long.

  // Following a call.
  DurationMs HeartbeatInterval{250}; ///< Silence before the node is asked.
  DurationMs FetchTimeout{500};      ///< For one question about a call.
  std::uint32_t MaxAttempts = 4;     ///< Targets tried for an urgent call.
  DurationMs WaitLimit{60000};       ///< Longest queueing of a call that waits.
  std::size_t MaxHeldBytes = 16 << 20; ///< Requests held by the entry side.
  double RetryShare = 0.1;             ///< Retries earned by one success.
  double RetryReserve = 10;            ///< Most retries saved up.

  // Admission.
  double ColdShare = 0.34;         ///< Of the slots, at a cold start.
  double LatencyTolerance = 2.0;   ///< Times the usual latency that is fine.
  DurationMs CautionTime{500};     ///< Least time between two decreases.
  DurationMs WarmTime{10000};      ///< Least time from cold to all slots.
  DurationMs IdleDecayTime{60000}; ///< Idleness after which a limit is cold.
  DurationMs ProbeInterval{250};   ///< Between tries of a target that is down.

  // Queue.
  std::size_t MaxQueueBytes = 16 << 20; ///< All queued requests together.
  std::uint32_t WaitingShare = 8; ///< One in so many goes to those that wait.

  // Ledger.
  std::size_t MaxKeptBytes = 24 << 20; ///< Answers kept for a second fetch.
  DurationMs KeepTime{20000};          ///< An answer is kept at most this long.
  std::size_t MaxLedgerIds = 200000;   ///< Call ids remembered.

  // Crashing requests.
  std::uint32_t CrashLimit = 2;   ///< Crashes after which it is refused.
  DurationMs CrashMemory{600000}; ///< A crash is remembered this long.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CALLSETTINGS_H
