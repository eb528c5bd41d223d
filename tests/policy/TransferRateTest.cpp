#include "policy/TransferRate.h"

#include <limits>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TransferLimits Limits{256, DurationMs(10'000), DurationMs(15'000),
                                DurationMs(300'000)};

} // namespace

TEST_GROUP(TransferRate) {
  TransferRate Rate;
  TimeMs Now{5000};

  void setup() override { Rate.update(0, true, Now, Limits.Window); }

  /// Transfers bytes at equal intervals; returns whether it was ever too slow.
  bool transfer(std::uint64_t Bytes, DurationMs Interval, DurationMs Duration) {
    bool TooSlow = false;
    for (const TimeMs End = Now + Duration; Now < End;) {
      Now = Now + Interval;
      Rate.update(Bytes, true, Now, Limits.Window);
      TooSlow = TooSlow || Rate.isTooSlow(Limits);
    }
    return TooSlow;
  }
};

// Guards against clients that hold a connection with a byte now and then.
TEST(TransferRate, IsTooSlowBelowTheMinimumAfterAWindow) {
  CHECK_FALSE(transfer(5, DurationMs(20), DurationMs(9980)));
  CHECK_TRUE(transfer(5, DurationMs(20), DurationMs(20)));
}

// Guards against closing clients that keep to the minimum in bursts, as those
// behind a slow receiver do.
TEST(TransferRate, IsNeverTooSlowAtTheMinimum) {
  CHECK_FALSE(transfer(64, DurationMs(250), DurationMs(120'000)));
  Rate.restart();
  Rate.update(0, true, Now, Limits.Window);
  for (int Burst = 0; Burst < 12; ++Burst) {
    CHECK_FALSE(transfer(0, DurationMs(250), DurationMs(9750)));
    CHECK_FALSE(transfer(2560, DurationMs(250), DurationMs(250)));
  }
}

// Guards against a fast start that excuses a client which then stops.
TEST(TransferRate, ForgetsWhatIsOlderThanTheWindow) {
  CHECK_FALSE(transfer(100'000, DurationMs(250), DurationMs(20'000)));
  CHECK_TRUE(transfer(0, DurationMs(250), DurationMs(11'250)));
}

// Guards against refusing a client for time in which the node does not read.
TEST(TransferRate, CountsOnlyTimeInWhichTheClientIsExpectedToTransfer) {
  transfer(0, DurationMs(250), DurationMs(5000));
  Rate.update(0, false, Now, Limits.Window);
  Now = Now + DurationMs(60'000);
  Rate.update(0, true, Now, Limits.Window);

  CHECK_FALSE(Rate.isTooSlow(Limits));
  LONGS_EQUAL(5000, Rate.expectedTime().Value);
  CHECK_TRUE(transfer(0, DurationMs(250), DurationMs(5000)));
}

// Guards against refusing clients after a pause of the process.
TEST(TransferRate, APauseOfTheProcessCountsAsASecond) {
  CHECK_FALSE(transfer(0, DurationMs(100'000'000), DurationMs(300'000'000)));
  LONGS_EQUAL(3000, Rate.expectedTime().Value);
}

TEST(TransferRate, WithoutAMinimumNothingIsTooSlow) {
  transfer(0, DurationMs(250), DurationMs(60'000));
  CHECK_FALSE(Rate.isTooSlow(TransferLimits()));
}

// Guards against limits that an overflow makes short.
TEST(TransferRate, BodiesHaveTheTimeOfTheirLengthWithinBounds) {
  const auto Limit = [](std::optional<std::uint64_t> Length) {
    return bodyTimeLimit(Length, Limits).Value;
  };
  LONGS_EQUAL(15'000, Limit(0));
  LONGS_EQUAL(15'000, Limit(256 * 15));
  LONGS_EQUAL(100'000, Limit(256 * 100));
  LONGS_EQUAL(300'000, Limit(67'108'864));
  LONGS_EQUAL(300'000, Limit(std::numeric_limits<std::uint64_t>::max()));
  LONGS_EQUAL(300'000, Limit(std::nullopt));
}
