/// \file
/// What the calls duty needs of the target beside its node, as hooks.

#ifndef FESCUEWOOD_CALLS_TARGETPORT_H
#define FESCUEWOOD_CALLS_TARGETPORT_H

#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstdint>
#include <functional>
#include <optional>

namespace fescuewood {

/// How a run at the target ended without a whole answer.
enum class RunFailure : std::uint8_t {
  None,       ///< There is an answer.
  NotReached, ///< No connection to the target, so the request did not run.
  NotSent,    ///< Not sent for a reason of its own; it did not run.
  Unusable,   ///< The target answered, but not so that it can be passed on.
  Broken,     ///< The connection ended before the answer was whole.
  TimedOut,   ///< No whole answer in time; the target may still work on it.
  Cancelled,  ///< Ended by \ref TargetPort::Cancel.
};

/// What became of one run.
struct RunResult {
  std::optional<CallAnswer> Answer; ///< Whole, or nothing.
  RunFailure Failure = RunFailure::None;
  ResultCode Reason = ResultCode::Ok; ///< Why there is no answer.
  DurationMs Took{0};
};

using RunHook = std::function<void(RunResult)>;

/// What a probe of the target has shown.
struct ProbeResult {
  bool Reachable = false; ///< It takes connections, whatever it said.
  /// How long it stays cold; nothing when it did not say.
  std::optional<DurationMs> ColdFor = std::nullopt;
};

/// The target beside this node. The hooks must not block; results may come on
/// any thread.
struct TargetPort {
  /// Starts a run; the result hook is called exactly once.
  std::function<void(const CallRequest &Request, DurationMs Timeout,
                     RunHook OnResult)>
      Run;
  /// Ends a run early, when the caller has gone. May be empty.
  std::function<void(const CallId &Id)> Cancel;
  /// Asks whether the target takes connections, after it went down.
  std::function<void(std::function<void(const ProbeResult &)>)> Probe;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_TARGETPORT_H
