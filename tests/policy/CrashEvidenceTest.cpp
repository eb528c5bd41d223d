#include "support/Property.h"

#include "policy/CrashEvidence.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Evidence of a number of runs that broke off before the probe.
CrashEvidence brokenBeforeProbe(int Runs) {
  CrashEvidence Evidence;
  for (int I = 0; I < Runs; ++I)
    Evidence.onAbortedRun({1, static_cast<std::uint64_t>(I)});
  Evidence.onProbeSent();
  return Evidence;
}

} // namespace

TEST_GROUP(CrashEvidence){};

// A crash is seen whatever else is seen, and a target that answers is blamed
// exactly when it lost all of several runs.
TEST(CrashEvidence, BlamesATargetThatIsGoneOrLostAllOfSeveralRuns) {
  checkProperty("verdict follows from what was seen", [] {
    const int Runs = *rc::gen::inRange(1, 8);
    const bool Answers = *rc::gen::arbitrary<bool>();
    const bool OthersRun = *rc::gen::arbitrary<bool>();
    const bool Answered = *rc::gen::arbitrary<bool>();
    CrashEvidence Evidence = brokenBeforeProbe(Runs);
    if (Answered)
      Evidence.onAnsweredRun();

    const CrashVerdict Verdict = Evidence.judge(Answers, OthersRun);

    const bool StillRunning = OthersRun || Answered;
    RC_ASSERT((Verdict == CrashVerdict::Crashed) ==
              (!Answers || (!StillRunning && Runs > 1)));
    RC_ASSERT((Verdict == CrashVerdict::StillRunning) ==
              (Answers && StillRunning));
    RC_ASSERT(Evidence.take().size() == static_cast<std::size_t>(Runs));
    RC_ASSERT(Evidence.empty());
  });
}

TEST(CrashEvidence, ProbesAgainWhenARunBrokeOffAfterTheProbe) {
  CrashEvidence Evidence = brokenBeforeProbe(1);

  Evidence.onAbortedRun({1, 2});

  CHECK(CrashVerdict::ProbeAgain == Evidence.judge(true, false));
  CHECK(CrashVerdict::Crashed == Evidence.judge(false, false));
}

TEST(CrashEvidence, AnAnswerFromBeforeTheBreakShowsNothing) {
  CrashEvidence Evidence;

  Evidence.onAnsweredRun();
  Evidence.onAbortedRun({1, 1});
  Evidence.onProbeSent();

  CHECK(CrashVerdict::Unclear == Evidence.judge(true, false));
}
