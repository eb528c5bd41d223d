/// \file
/// Rate limit that a target in need names in its answers.
///
/// All requests to a target pass through the node beside it, so one limiter
/// there enforces the limit for the whole mesh. Requests are spaced as by the
/// generic cell rate algorithm (ITU-T I.371): a request may start once the
/// requests before it have used up their intervals, less a tolerance.

#ifndef FESCUEWOOD_POLICY_NAMEDLIMIT_H
#define FESCUEWOOD_POLICY_NAMEDLIMIT_H

#include "core/Clock.h"
#include "policy/TargetNotice.h"

#include <cstddef>
#include <optional>

namespace fescuewood {

/// Limit of one target on its requests per second. Not thread-safe.
class NamedLimit {
public:
  /// Applies an answer to a request that was sent at \p SentAt. An answer
  /// without a limit ends the limit only if its request was sent after the last
  /// answer that named one, since answers may arrive in another order. An
  /// unreadable limit changes nothing. Returns whether the limit changed.
  bool update(const TargetNotice &Notice, TimeMs SentAt, TimeMs Now);

  /// Forgets the limit, which belonged to an earlier target.
  void clear();

  /// The limit in requests per second; std::nullopt if there is none.
  std::optional<double> rate() const { return Rate; }

  /// Whether one more request may start.
  bool mayStart(TimeMs Now) const;

  /// Counts a request that starts.
  void onStart(TimeMs Now);

  /// Time until a request can start that has \p Ahead others before it; 0
  /// without a limit.
  DurationMs wait(std::size_t Ahead, TimeMs Now) const;

  /// Mean time between two requests. Requires a limit.
  DurationMs interval() const;

private:
  double intervalMs() const;
  double usedIntervals(TimeMs Now) const;

  std::optional<double> Rate;
  TimeMs NamedAt{0}; ///< When an answer last named a limit.
  /// Time in ms at which the intervals of all started requests are used up.
  double UsedUntilMs = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_NAMEDLIMIT_H
