/// \file
/// The times of a graceful shutdown.
///
/// A shutdown does not end at a fixed time: calls in progress have deadlines,
/// and cutting one earlier loses its answer. The drain timeout only ends what
/// has no deadline of its own, such as idle connections, and what is begun
/// after the shutdown has started. If the process is killed after a grace
/// period, the remaining calls are cut just before it, so that their callers
/// still get an answer.

#ifndef FESCUEWOOD_POLICY_SHUTDOWNPLAN_H
#define FESCUEWOOD_POLICY_SHUTDOWNPLAN_H

#include "core/Clock.h"

namespace fescuewood {

/// Time to refuse the calls that wait before those at work are cut.
inline constexpr DurationMs RefusalTime{100};

/// Time to write the final answers after the remaining calls are cut.
inline constexpr DurationMs FinalAnswerTime{400};

/// Time for the process to exit before it is killed.
inline constexpr DurationMs ExitTime{200};

/// Limits of a shutdown, counted from its start.
struct ShutdownLimits {
  /// Time in which new connections are still accepted.
  DurationMs LeaveNotice{0};
  /// Time in which connections are served and new calls may run.
  DurationMs DrainTimeout{0};
  /// Time until the process is killed; 0 if it is not.
  DurationMs TerminationGrace{0};
};

/// When the phases of a shutdown end. Each is at most the next one.
struct ShutdownPlan {
  TimeMs AcceptUntil; ///< New connections are accepted.
  TimeMs DrainUntil;  ///< New calls are accepted if they end by then.
  TimeMs CutAt;       ///< Entered calls are cut; Never without a grace period.
  TimeMs ExitBy;      ///< All answers are written; Never likewise.

  /// Latest deadline of a call that is begun during the shutdown. It leaves
  /// time for the answer.
  TimeMs latestDeadline() const;
};

ShutdownPlan planShutdown(const ShutdownLimits &Limits, TimeMs Start);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SHUTDOWNPLAN_H
