#include "support/Property.h"

#include "policy/CrashEvidence.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs AbortedAt{1000};

/// Evidence of \p Runs runs that were aborted before the probe.
CrashEvidence abortedBeforeProbe(int Runs) {
  CrashEvidence Evidence;
  for (int I = 0; I < Runs; ++I)
    Evidence.onAbortedRun({1, static_cast<std::uint64_t>(I)}, AbortedAt);
  Evidence.onProbeSent();
  return Evidence;
}

} // namespace

TEST_GROUP(CrashEvidence){};

// Answers that may have been on their way do not count: a target that does not
// answer the probe has crashed, whatever other evidence there is; one that
// answers it has crashed exactly if it lost all of several runs.
TEST(CrashEvidence, DetectsCrashByProbeOrByLossOfAllRuns) {
  checkProperty("verdict follows from the evidence", [] {
    const int Runs = *rc::gen::inRange(1, 8);
    const bool Answers = *rc::gen::arbitrary<bool>();
    const bool OthersRun = *rc::gen::arbitrary<bool>();
    const bool OneAnswered = *rc::gen::arbitrary<bool>();
    CrashEvidence Evidence = abortedBeforeProbe(Runs);
    if (OneAnswered)
      Evidence.onAnsweredRun(AbortedAt);

    const CrashVerdict Verdict = Evidence.judge(Answers, OthersRun);

    const bool OneSurvived = OthersRun || OneAnswered;
    RC_ASSERT((Verdict == CrashVerdict::Crashed) ==
              (!Answers || (!OneSurvived && Runs > 1)));
    RC_ASSERT((Verdict == CrashVerdict::StillRunning) ==
              (Answers && OneSurvived));
    RC_ASSERT(Evidence.take().size() == static_cast<std::size_t>(Runs));
    RC_ASSERT(Evidence.empty());
  });
}

TEST(CrashEvidence, ProbesAgainAfterAnAbortDuringTheProbe) {
  CrashEvidence Evidence = abortedBeforeProbe(1);

  Evidence.onAbortedRun({1, 2}, AbortedAt);

  CHECK(CrashVerdict::ProbeAgain == Evidence.judge(true, false));
  CHECK(CrashVerdict::Crashed == Evidence.judge(false, false));
}

TEST(CrashEvidence, IgnoresAnswersBeforeTheFirstAbort) {
  CrashEvidence Evidence;

  Evidence.onAnsweredRun(AbortedAt - DurationMs(1));
  Evidence.onAbortedRun({1, 1}, AbortedAt);
  Evidence.onProbeSent();

  CHECK(CrashVerdict::Inconclusive == Evidence.judge(true, false));
}

// A full target may not answer a probe at all.
TEST(CrashEvidence, AnAnswerWellAfterTheAbortProvesThatTheTargetSurvived) {
  CrashEvidence Evidence = abortedBeforeProbe(3);
  Evidence.onAnsweredRun(AbortedAt + MinSurvivalTime - DurationMs(1));
  CHECK_FALSE(Evidence.survivalProven());

  Evidence.onAnsweredRun(AbortedAt + MinSurvivalTime);

  CHECK(Evidence.survivalProven());
  CHECK(CrashVerdict::StillRunning == Evidence.judge(false, false));
}

TEST(CrashEvidence, AFurtherAbortNeedsAFurtherAnswer) {
  CrashEvidence Evidence = abortedBeforeProbe(1);
  const TimeMs Later = AbortedAt + MinSurvivalTime;
  Evidence.onAnsweredRun(Later);

  Evidence.onAbortedRun({1, 2}, Later);

  CHECK_FALSE(Evidence.survivalProven());
  CHECK(CrashVerdict::Crashed == Evidence.judge(false, true));
}
