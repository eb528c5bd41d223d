#include "core/Clock.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Clock){};

TEST(Clock, MonotonicClockNeverGoesBack) {
  const Clock Monotonic = Clock::monotonic();
  constexpr int Reads = 1000;
  TimeMs Last = Monotonic.now();

  for (int I = 0; I < Reads; ++I) {
    const TimeMs Now = Monotonic.now();
    CHECK(Now >= Last);
    Last = Now;
  }
}

TEST(Clock, ReturnsTheTimeFromItsHook) {
  TimeMs Present(5);
  const Clock Fake([&Present] { return Present; });

  Present = Present + DurationMs(10);

  LONGS_EQUAL(15, Fake.now().Value);
}
