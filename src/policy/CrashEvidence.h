/// \file
/// Distinguishes a crash of a target from the loss of a connection to it.
///
/// A run that breaks off looks the same in both cases. The node beside the
/// target reports each such run with \ref CrashEvidence::onAbortedRun, probes
/// the target over a fresh connection, and asks \ref CrashEvidence::judge what
/// the probe's result means. Until then the broken runs stay without a last
/// word, so that no call is moved to a further target before its crash is
/// known.

#ifndef FESCUEWOOD_POLICY_CRASHEVIDENCE_H
#define FESCUEWOOD_POLICY_CRASHEVIDENCE_H

#include "calls/Call.h"

#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuewood {

/// Conclusion from the probe after runs were aborted.
enum class CrashVerdict : std::uint8_t {
  Crashed,      ///< Every broken run was broken off by a crash.
  StillRunning, ///< Only connections were lost; the target runs as before.
  Unclear,      ///< No sign of a crash, but it may have started again at once.
  ProbeAgain,   ///< Runs broke off after the probe was sent.
};

/// Aborted runs of one target whose cause is not yet known.
class CrashEvidence {
public:
  /// A run broke off.
  void onAbortedRun(const CallId &Id) { Broken.push_back(Id); }

  /// A run that began before the first break was answered after it.
  void onAnsweredRun() { AnsweredSince = !Broken.empty(); }

  /// A probe is sent now.
  void onProbeSent() { BrokenAtProbe = Broken.size(); }

  /// Determines from the probe why the runs were aborted.
  ///
  /// A target that does not answer has crashed. One that answers may have
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
  bool AnsweredSince = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CRASHEVIDENCE_H
