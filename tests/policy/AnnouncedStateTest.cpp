#include "policy/AnnouncedState.h"

#include <limits>
#include <optional>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Now{10'000};

} // namespace

TEST_GROUP(AnnouncedState) {
  AnnouncedState State;

  void setup() override { State.setTarget("first", 7, Now); }
};

TEST(AnnouncedState, IsKnownAfterTheFirstAnswer) {
  CHECK_FALSE(State.known());

  State.onAnswer({}, Now, Now);

  CHECK_TRUE(State.known());
  CHECK_FALSE(State.leaving());
}

TEST(AnnouncedState, LeavingIsReportedOnceAndLasts) {
  CHECK_TRUE(State.onAnswer({.Leaving = true}, Now, Now).Leaving);
  CHECK_FALSE(State.onAnswer({.Leaving = true}, Now, Now).Leaving);

  State.onAnswer({}, Now + DurationMs(9), Now + DurationMs(9));
  State.setTarget("first", 7, Now + DurationMs(10));

  CHECK_TRUE(State.leaving());
}

TEST(AnnouncedState, UnreadableLimitIsReportedOnce) {
  const TargetNotice Unreadable = {std::nullopt, true, false};

  CHECK_TRUE(State.onAnswer(Unreadable, Now, Now).LimitUnreadable);
  CHECK_FALSE(State.onAnswer(Unreadable, Now, Now).LimitUnreadable);
  State.onAnswer({}, Now, Now);
  CHECK_TRUE(State.onAnswer(Unreadable, Now, Now).LimitUnreadable);
}

TEST(AnnouncedState, AnotherTargetHasAnnouncedNothing) {
  State.onAnswer({.RequestsPerSecond = 3, .Leaving = true}, Now, Now);

  State.setTarget("second", 0, Now + DurationMs(10));

  CHECK_FALSE(State.leaving());
  CHECK_FALSE(State.known());
  CHECK_FALSE(State.limit().rate().has_value());
}

TEST(AnnouncedState, AnotherStartUnderTheSameIdHasAnnouncedNothing) {
  State.onAnswer({.Leaving = true}, Now, Now);

  State.setTarget("first", 0, Now + DurationMs(10));
  CHECK_TRUE(State.leaving());
  State.setTarget("first", 8, Now + DurationMs(20));

  CHECK_FALSE(State.leaving());
}

TEST(AnnouncedState, LateAnswerOfAnEarlierTargetChangesNothing) {
  State.setTarget("second", 8, Now + DurationMs(10));

  State.onAnswer({.RequestsPerSecond = 3, .Leaving = true}, Now,
                 Now + DurationMs(20));

  CHECK_FALSE(State.leaving());
  CHECK_FALSE(State.known());
  CHECK_FALSE(State.limit().rate().has_value());
}

TEST(AnnouncedState, ConcurrencyUsesUpTheNamedRate) {
  LONGS_EQUAL(std::numeric_limits<std::uint32_t>::max(),
              State.concurrency(DurationMs(100)));
  State.onAnswer({.RequestsPerSecond = 25}, Now, Now);

  LONGS_EQUAL(3, State.concurrency(DurationMs(120)));
  LONGS_EQUAL(1, State.concurrency(DurationMs(0)));
}
