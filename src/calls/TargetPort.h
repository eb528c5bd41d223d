/// \file
/// Interface of the call engine to the node's target, as hooks.

#ifndef FESCUEWOOD_CALLS_TARGETPORT_H
#define FESCUEWOOD_CALLS_TARGETPORT_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"
#include "policy/TargetNotice.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

namespace fescuewood {

/// Why a run on the target ended without a complete answer.
enum class RunFailure : std::uint8_t {
  None,       ///< The run has an answer.
  NotReached, ///< Connecting to the target failed; the request did not run.
  NotSent,    ///< Not sent, or refused by the target; the request did not run.
  Unusable,   ///< The target answered, but the answer cannot be forwarded.
  Broken,     ///< The connection closed before the answer was complete.
  TimedOut, ///< No complete answer in time; the target may still be running it.
  Cancelled, ///< Ended by \ref TargetPort::Cancel.
};

/// The connection on which a request was sent, for the log: two answers can
/// only be mistaken for each other on the same one.
struct ConnectionUse {
  int LocalPort = 0;       ///< 0: the request was not sent.
  std::uint32_t Place = 0; ///< Among the requests of the connection, from 1.
};

/// Result of one run.
struct RunResult {
  std::optional<CallAnswer> Answer; ///< Set only if complete.
  RunFailure Failure = RunFailure::None;
  ResultCode Reason = ResultCode::Ok; ///< Reason for a missing answer.
  DurationMs Duration{0};             ///< From the start of the run to its end.
  /// Whether the request ran, if the answer is missing.
  Outcome RunOutcome = Outcome::Unknown;
  /// What the target says about itself, if it answered.
  std::optional<TargetNotice> Notice = std::nullopt;
  ConnectionUse Use = {};
};

using RunHook = std::function<void(RunResult)>;

/// Result of a probe of the target.
struct ProbeResult {
  /// The target accepts connections, whatever its answer.
  bool Reachable = false;
  /// Remaining time for which the target is cold, if it reported one.
  std::optional<DurationMs> ColdFor = std::nullopt;
  /// What the target says about itself, if it answered.
  std::optional<TargetNotice> Notice = std::nullopt;
  std::string TargetId = {}; ///< Identity of the target, if it reported one.
};

/// Hooks of the node's target. They must not block; their result hooks may be
/// called on any thread.
struct TargetPort {
  /// Starts a run; \p OnResult is called exactly once.
  std::function<void(const CallRequest &Request, DurationMs Timeout,
                     RunHook OnResult)>
      Run;
  /// Cancels a run whose caller has disconnected. May be empty.
  std::function<void(const CallId &Id)> Cancel;
  /// Checks whether the target accepts connections. May be empty.
  std::function<void(std::function<void(const ProbeResult &)>)> Probe;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_TARGETPORT_H
