#include "policy/WarmupLimit.h"

#include "support/Property.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(WarmupLimit) { WarmupLimit Limit; };

TEST(WarmupLimit, BoundsNothingWhileTheTargetIsWarm) {
  Limit.setRate(5);

  for (int I = 0; I < 100; ++I)
    CHECK_TRUE(Limit.take(TimeMs(0)));
}

TEST(WarmupLimit, EndsWithTheCold) {
  Limit.setRate(5);
  Limit.setColdUntil(TimeMs(3000), TimeMs(0));
  CHECK_FALSE(Limit.take(TimeMs(0)));

  CHECK_TRUE(Limit.take(TimeMs(3000)));
}

// The users' bound in any second: 1.5 times the rate and 5 requests.
TEST(WarmupLimit, StaysWithinTheBoundInAnySecond) {
  checkProperty("a cold target gets no more than it bears", [] {
    const double Rate = *rc::gen::inRange(1, 20);
    WarmupLimit Cold;
    Cold.setRate(Rate);
    Cold.setColdUntil(TimeMs(60'000), TimeMs(0));
    std::vector<TimeMs> Given;
    TimeMs Now(0);
    for (int I = 0; I < 2000; ++I) {
      Now = Now + DurationMs(*rc::gen::inRange(0, 20));
      if (Cold.take(Now))
        Given.push_back(Now);
    }
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Given.size(); ++Last) {
      while (Given[Last] - Given[First] >= DurationMs(1000))
        ++First;
      RC_ASSERT(static_cast<double>(Last - First + 1) <= 1.5 * Rate + 5);
    }
  });
}
