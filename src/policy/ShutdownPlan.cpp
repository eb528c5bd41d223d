#include "policy/ShutdownPlan.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// Time between the latest deadline of a new call and the end of the drain, for
/// its answer.
constexpr DurationMs AnswerMargin{200};

} // namespace

TimeMs ShutdownPlan::latestDeadline() const {
  return DrainUntil - AnswerMargin;
}

ShutdownPlan planShutdown(const ShutdownLimits &Limits, TimeMs Start) {
  ShutdownPlan Plan;
  Plan.ExitBy = Never;
  Plan.CutAt = Never;
  if (Limits.TerminationGrace > DurationMs(0)) {
    const TimeMs KilledAt = Start + Limits.TerminationGrace;
    Plan.ExitBy = std::max(Start, KilledAt - ExitTime);
    Plan.CutAt = std::max(Start, Plan.ExitBy - FinalAnswerTime);
  }
  Plan.DrainUntil =
      std::clamp(Plan.CutAt - RefusalTime, Start, Start + Limits.DrainTimeout);
  Plan.AcceptUntil = std::min(Start + Limits.LeaveNotice, Plan.DrainUntil);
  return Plan;
}

} // namespace fescuewood
