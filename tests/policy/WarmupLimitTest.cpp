#include "policy/WarmupLimit.h"

#include "support/Property.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(WarmupLimit) { WarmupLimit Limit; };

TEST(WarmupLimit, DoesNotLimitAWarmTarget) {
  Limit.setRate(5);

  for (int I = 0; I < 100; ++I)
    CHECK_TRUE(Limit.take(TimeMs(0)));
}

TEST(WarmupLimit, EndsWhenTheTargetIsWarm) {
  Limit.setRate(5);
  Limit.setColdUntil(TimeMs(3000), TimeMs(0));
  CHECK_FALSE(Limit.take(TimeMs(0)));

  CHECK_TRUE(Limit.take(TimeMs(3000)));
}

// The specified bound for any second is 1.5 times the rate plus 5 requests.
TEST(WarmupLimit, StaysWithinTheBoundInAnySecond) {
  checkProperty("a cold target gets at most 1.5 * rate + 5 per second", [] {
    const double Rate = *rc::gen::inRange(1, 20);
    WarmupLimit Cold;
    Cold.setRate(Rate);
    Cold.setColdUntil(TimeMs(60'000), TimeMs(0));
    std::vector<TimeMs> Sent;
    TimeMs Now(0);
    for (int I = 0; I < 2000; ++I) {
      Now = Now + DurationMs(*rc::gen::inRange(0, 20));
      if (Cold.take(Now))
        Sent.push_back(Now);
    }
    std::size_t First = 0;
    for (std::size_t Last = 0; Last < Sent.size(); ++Last) {
      while (Sent[Last] - Sent[First] >= DurationMs(1000))
        ++First;
      RC_ASSERT(static_cast<double>(Last - First + 1) <= 1.5 * Rate + 5);
    }
  });
}
