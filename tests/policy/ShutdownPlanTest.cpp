#include "policy/ShutdownPlan.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start{50'000};

DurationMs sinceStart(TimeMs When) { return When - Start; }

} // namespace

TEST_GROUP(ShutdownPlan){};

TEST(ShutdownPlan, CutsNothingWithoutAGrace) {
  const ShutdownPlan Plan =
      planShutdown({DurationMs(2200), DurationMs(5200)}, Start);

  CHECK(Never == Plan.CutAt);
  CHECK(Never == Plan.ExitBy);
  LONGS_EQUAL(2200, sinceStart(Plan.AcceptUntil).Value);
  LONGS_EQUAL(5200, sinceStart(Plan.DrainUntil).Value);
  CHECK(Plan.latestDeadline() < Plan.DrainUntil);
}

// Guards against a drain that ends at the same time whatever the grace is.
TEST(ShutdownPlan, UsesTheWholeGraceExceptForTheLastAnswers) {
  for (const DurationMs Grace : {DurationMs(6000), DurationMs(10'000)}) {
    const ShutdownPlan Plan =
        planShutdown({DurationMs(2200), DurationMs(30'000), Grace}, Start);

    CHECK(Start + Grace - ExitTime == Plan.ExitBy);
    CHECK(Plan.ExitBy - FinalAnswerTime == Plan.CutAt);
    CHECK(Plan.CutAt - RefusalTime == Plan.DrainUntil);
  }
}

TEST(ShutdownPlan, EndsTheDrainBeforeTheGraceIfItsTimeoutIsShorter) {
  const ShutdownPlan Plan = planShutdown(
      {DurationMs(2200), DurationMs(5200), DurationMs(10'000)}, Start);

  LONGS_EQUAL(5200, sinceStart(Plan.DrainUntil).Value);
  LONGS_EQUAL(9400, sinceStart(Plan.CutAt).Value);
}

TEST(ShutdownPlan, KeepsItsOrderWithinAShortGrace) {
  for (std::int64_t Ms = 1; Ms < 4000; Ms += 37) {
    const ShutdownPlan Plan = planShutdown(
        {DurationMs(2200), DurationMs(5200), DurationMs(Ms)}, Start);

    CHECK(Start <= Plan.AcceptUntil);
    CHECK(Plan.AcceptUntil <= Plan.DrainUntil);
    CHECK(Plan.DrainUntil <= Plan.CutAt);
    CHECK(Plan.CutAt <= Plan.ExitBy);
    CHECK(Plan.ExitBy <= Start + DurationMs(Ms));
  }
}
