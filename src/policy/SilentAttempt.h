/// \file
/// When a call whose node answers nothing is run on another target.
///
/// A silent node may be lost, or only paused or behind a busy link: silence
/// says that the path is slow or closed, not that the run has ended. The run is
/// therefore kept while a second one could still begin in time, and for good
/// when a second one would end too late.

#ifndef FESCUEWOOD_POLICY_SILENTATTEMPT_H
#define FESCUEWOOD_POLICY_SILENTATTEMPT_H

#include "core/Clock.h"

#include <cstdint>

namespace fescuewood {

/// Silence after which a node counts as lost, as the transport's connections
/// do.
inline constexpr DurationMs MaxNodeSilence{1200};

/// An attempt whose node does not answer fetches of the outcome.
struct SilentAttempt {
  TimeMs HeardAt;  ///< Last sign of the node, or the start of the attempt.
  TimeMs Deadline; ///< Of the call.
  /// Expected time from sending the call to another target to its answer.
  DurationMs TimeElsewhere{0};
};

enum class SilenceVerdict : std::uint8_t {
  Wait, ///< Fetch the outcome again; the call can still move later.
  Move, ///< Run the call on another target.
  Keep, ///< Another run would end too late; wait for this one.
};

/// Latest time at which the call should move: it leaves time for two runs, the
/// second one in case the next target refuses the call.
TimeMs moveTime(const SilentAttempt &Attempt);

SilenceVerdict judgeSilence(const SilentAttempt &Attempt, TimeMs Now);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SILENTATTEMPT_H
