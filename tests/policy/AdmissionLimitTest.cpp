#include "support/Property.h"

#include "policy/AdmissionLimit.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 9;

/// Reports one result every 10 ms at the full limit, for \p Duration.
void serve(AdmissionLimit &Limit, TimeMs &Now, DurationMs Duration,
           DurationMs Latency, RunOutcome Outcome = RunOutcome::Answered) {
  const TimeMs End = Now + Duration;
  while (Now < End) {
    Now = Now + DurationMs(10);
    Limit.onResult("read", Outcome, Latency, Limit.limit(Now), Now);
  }
}

} // namespace

TEST_GROUP(AdmissionLimit) {
  TimeMs Now{0};
  AdmissionLimit Limit{{}, Slots, TimeMs(0)};
};

TEST(AdmissionLimit, StartsLowAndGrowsToTheSlotsUnderLoad) {
  const std::uint32_t Start = Limit.limit(Now);

  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  LONGS_EQUAL(3, Start);
  LONGS_EQUAL(Slots, Limit.limit(Now));
  CHECK_FALSE(Limit.cold());
}

TEST(AdmissionLimit, DoesNotGrowBelowTheLimit) {
  for (int I = 0; I < 1000; ++I) {
    Now = Now + DurationMs(10);
    Limit.onResult("read", RunOutcome::Answered, DurationMs(20), 1, Now);
  }

  LONGS_EQUAL(3, Limit.limit(Now));
}

TEST(AdmissionLimit, DecreasesWhenTheTargetShedsOrFails) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  serve(Limit, Now, DurationMs(600), DurationMs(20), RunOutcome::Shed);
  const std::uint32_t AfterShed = Limit.limit(Now);
  serve(Limit, Now, DurationMs(3000), DurationMs(20), RunOutcome::Failed);

  CHECK(AfterShed < Slots);
  LONGS_EQUAL(1, Limit.limit(Now));
}

TEST(AdmissionLimit, SuddenSlowdownResetsToCold) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  serve(Limit, Now, DurationMs(300), DurationMs(400));

  CHECK(Limit.limit(Now) <= 3);
  CHECK_TRUE(Limit.cold());
}

TEST(AdmissionLimit, IsColdAfterIdleTime) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  Now = Now + AdmissionSettings().IdleDecayTime + DurationMs(1);

  LONGS_EQUAL(3, Limit.limit(Now));
}

TEST(AdmissionLimit, IgnoresTimeoutsOfShortDeadlines) {
  serve(Limit, Now, DurationMs(15000), DurationMs(20));

  serve(Limit, Now, DurationMs(3000), DurationMs(10), RunOutcome::TimedOut);

  LONGS_EQUAL(Slots, Limit.limit(Now));
}

TEST(AdmissionLimit, WarmsUpMoreSlowlyAfterLossDuringWarmUp) {
  const auto TimeToSlots = [this] {
    const TimeMs Start = Now;
    while (Limit.limit(Now) < Slots)
      serve(Limit, Now, DurationMs(100), DurationMs(20));
    return Now - Start;
  };
  const DurationMs FirstWarmUp = TimeToSlots();

  Limit.restartAfterLoss(Now);

  CHECK(TimeToSlots() > FirstWarmUp + DurationMs(FirstWarmUp.Value / 2));
}

TEST(AdmissionLimit, StaysBetweenOneAndTheSlots) {
  checkProperty("1 <= limit <= slots", [] {
    AdmissionLimit Tested({}, *rc::gen::inRange<std::uint32_t>(0, 40),
                          TimeMs(0));
    TimeMs Time(0);
    for (int I = 0; I < 200; ++I) {
      Time = Time + DurationMs(*rc::gen::inRange(0, 2000));
      const auto Event = *rc::gen::inRange(0, 8);
      if (Event < 5) {
        Tested.onResult(std::to_string(Event), static_cast<RunOutcome>(Event),
                        DurationMs(*rc::gen::inRange(-5, 5000)),
                        *rc::gen::inRange<std::uint32_t>(0, 50), Time);
      } else if (Event == 5) {
        Tested.setSlots(*rc::gen::inRange<std::uint32_t>(0, 40));
      } else if (Event == 6) {
        Tested.restartAfterLoss(Time);
      }
      RC_ASSERT(Tested.limit(Time) >= 1U);
      RC_ASSERT(Tested.limit(Time) <= Tested.slots());
    }
  });
}
