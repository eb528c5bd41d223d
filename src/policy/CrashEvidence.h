/// \file
/// Tells a target that crashed from a connection to it that was lost.
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

/// What a probe after a break shows.
enum class CrashVerdict : std::uint8_t {
  Crashed,      ///< Every broken run was broken off by a crash.
  StillRunning, ///< Only connections were lost; the target runs as before.
  Unclear,      ///< No sign of a crash, but it may have started again at once.
  ProbeAgain,   ///< Runs broke off after the probe was sent.
};

/// The runs of one target that broke off and are not judged yet.
class CrashEvidence {
public:
  /// A run broke off.
  void onAbortedRun(const CallId &Id) { Broken.push_back(Id); }

  /// A run that began before the first break was answered after it.
  void onAnsweredRun() { AnsweredSince = !Broken.empty(); }

  /// A probe is sent now.
  void onProbeSent() { BrokenAtProbe = Broken.size(); }

  /// What the result of the probe means for the broken runs.
  ///
  /// A target that does not answer has crashed. One that answers may have
  /// started again at once: it is taken for crashed when it lost all of several
  /// runs together, and for running when one of them went on. When there was
  /// only one run nothing tells, and the request is not blamed.
  /// \param Answers whether the target answered the probe.
  /// \param OthersRun whether a run that began before the break still runs.
  CrashVerdict judge(bool Answers, bool OthersRun) const;

  /// Whether no run waits for a verdict.
  bool empty() const { return Broken.empty(); }

  /// Hands out the broken runs and starts afresh.
  std::vector<CallId> take();

private:
  std::vector<CallId> Broken;
  std::size_t BrokenAtProbe = 0;
  bool AnsweredSince = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CRASHEVIDENCE_H
