/// \file
/// Distinguishes a crash of a target from the loss of a connection to it.
///
/// Both abort runs in the same way. The target's node reports each aborted run
/// with \ref CrashEvidence::onAbortedRun, probes the target over a new
/// connection, and passes the result to \ref CrashEvidence::judge. Until then
/// the aborted runs have no final result, so that no call is retried on another
/// target before the crash is recorded. A target that is full may leave a probe
/// unanswered, so its answers to other runs count for more.

#ifndef FESCUEWOOD_POLICY_CRASHEVIDENCE_H
#define FESCUEWOOD_POLICY_CRASHEVIDENCE_H

#include "calls/Call.h"
#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuewood {

/// Conclusion from the probe after runs were aborted.
enum class CrashVerdict : std::uint8_t {
  Crashed,      ///< A crash aborted all of the runs.
  StillRunning, ///< Only connections were lost; the target is still up.
  Inconclusive, ///< No sign of a crash, but a fast restart is possible.
  ProbeAgain,   ///< More runs were aborted after the probe was sent.
};

/// Time after an abort from which an answer proves that the target survived: an
/// earlier one may have been on its way when the target crashed.
inline constexpr DurationMs MinSurvivalTime{50};

/// Aborted runs of one target whose cause is not yet known.
class CrashEvidence {
public:
  /// Records an aborted run.
  void onAbortedRun(const CallId &Id, TimeMs Now);

  /// Records the answer to a run that began before the first abort. Has no
  /// effect if none has been aborted.
  void onAnsweredRun(TimeMs Now);

  /// Whether an answer has proved that the target survived, so that no probe
  /// need be awaited.
  bool survivalProven() const { return SurvivalProven; }

  /// Records that a probe is sent.
  void onProbeSent() { AbortedBeforeProbe = AbortedRuns.size(); }

  /// Determines from the probe why the runs were aborted.
  ///
  /// A target that does not answer has crashed, unless \ref survivalProven. One
  /// that answers may have
  /// restarted: it is considered crashed if several runs were aborted and none
  /// survived, and running if at least one survived. A single aborted run is
  /// inconclusive, and its request is not blamed.
  /// \param Answers whether the target answered the probe.
  /// \param OthersRun whether a run that began before the abort is in progress.
  CrashVerdict judge(bool Answers, bool OthersRun) const;

  /// Whether there are no aborted runs.
  bool empty() const { return AbortedRuns.empty(); }

  /// Removes and returns the aborted runs, and resets the evidence.
  std::vector<CallId> take();

private:
  std::vector<CallId> AbortedRuns;
  std::size_t AbortedBeforeProbe = 0;
  TimeMs LastAbortAt{0};
  bool AnsweredSince = false;
  bool SurvivalProven = false; ///< Of all aborts so far.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CRASHEVIDENCE_H
