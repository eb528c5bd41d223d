#include "support/Property.h"

#include "policy/AdmissionLimit.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 9;

/// Ends runs at the full limit for a while, one every 10 ms.
void serve(AdmissionLimit &Limit, TimeMs &Now, DurationMs For, DurationMs Took,
           RunOutcome Verdict = RunOutcome::Answered) {
  const TimeMs End = Now + For;
  while (Now < End) {
    Now = Now + DurationMs(10);
    Limit.onResult("read", Verdict, Took, Limit.limit(Now), Now);
  }
}

} // namespace

TEST_GROUP(AdmissionLimit) {
  TimeMs Now{0};
  AdmissionLimit Limit{{}, Slots, TimeMs(0)};
};

TEST(AdmissionLimit, StartsLowAndGrowsToTheSlotsOnEvidence) {
  const std::uint32_t Start = Limit.limit(Now);

  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  LONGS_EQUAL(3, Start);
  LONGS_EQUAL(Slots, Limit.limit(Now));
  CHECK_FALSE(Limit.cold());
}

TEST(AdmissionLimit, DoesNotGrowWithoutUse) {
  for (int I = 0; I < 1000; ++I) {
    Now = Now + DurationMs(10);
    Limit.onResult("read", RunOutcome::Answered, DurationMs(20), 1, Now);
  }

  LONGS_EQUAL(3, Limit.limit(Now));
}

TEST(AdmissionLimit, FallsWhenTheTargetShedsOrFails) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  serve(Limit, Now, DurationMs(600), DurationMs(20), RunOutcome::Shed);
  const std::uint32_t AfterShed = Limit.limit(Now);
  serve(Limit, Now, DurationMs(3000), DurationMs(20), RunOutcome::Failed);

  CHECK(AfterShed < Slots);
  LONGS_EQUAL(1, Limit.limit(Now));
}

TEST(AdmissionLimit, TakesASuddenSlowdownForAColdTarget) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  serve(Limit, Now, DurationMs(300), DurationMs(400));

  CHECK(Limit.limit(Now) <= 3);
  CHECK_TRUE(Limit.cold());
}

TEST(AdmissionLimit, IsColdAgainAfterIdleness) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  Now = Now + AdmissionSettings().IdleDecayTime + DurationMs(1);

  LONGS_EQUAL(3, Limit.limit(Now));
}

TEST(AdmissionLimit, RequestsThatHadLittleTimeLeftAreNoEvidence) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  serve(Limit, Now, DurationMs(3000), DurationMs(10), RunOutcome::TimedOut);

  LONGS_EQUAL(Slots, Limit.limit(Now));
}

TEST(AdmissionLimit, WarmsUpMoreSlowlyAfterALossDuringTheWarmUp) {
  const auto TimeToSlots = [this] {
    const TimeMs Start = Now;
    while (Limit.limit(Now) < Slots)
      serve(Limit, Now, DurationMs(100), DurationMs(20));
    return Now - Start;
  };
  const DurationMs Usual = TimeToSlots();

  Limit.restartAfterLoss(Now);

  CHECK(TimeToSlots() > Usual + DurationMs(Usual.Value / 2));
}

TEST(AdmissionLimit, StaysBetweenOneAndTheSlotsWhateverHappens) {
  checkProperty("1 <= limit <= slots", [] {
    AdmissionLimit Any({}, *rc::gen::inRange<std::uint32_t>(0, 40), TimeMs(0));
    TimeMs At(0);
    for (int I = 0; I < 200; ++I) {
      At = At + DurationMs(*rc::gen::inRange(0, 2000));
      const auto What = *rc::gen::inRange(0, 8);
      if (What < 5) {
        Any.onResult(std::to_string(What), static_cast<RunOutcome>(What),
                     DurationMs(*rc::gen::inRange(-5, 5000)),
                     *rc::gen::inRange<std::uint32_t>(0, 50), At);
      } else if (What == 5) {
        Any.setSlots(*rc::gen::inRange<std::uint32_t>(0, 40));
      } else if (What == 6) {
        Any.restartAfterLoss(At);
      }
      RC_ASSERT(Any.limit(At) >= 1U);
      RC_ASSERT(Any.limit(At) <= Any.slots());
    }
  });
}
