#include "policy/SilentAttempt.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start{10'000};
constexpr DurationMs Run{200};

SilentAttempt attempt(DurationMs Remaining) {
  return {Start, Start + Remaining, Run};
}

} // namespace

TEST_GROUP(SilentAttempt){};

TEST(SilentAttempt, WaitsWhileAnotherRunCanStillBeginInTime) {
  const SilentAttempt Long = attempt(DurationMs(5000));

  CHECK(SilenceVerdict::Wait ==
        judgeSilence(Long, Start + MaxNodeSilence - DurationMs(1)));
  CHECK(SilenceVerdict::Move == judgeSilence(Long, Start + MaxNodeSilence));
}

TEST(SilentAttempt, MovesEarlierIfLessTimeIsLeft) {
  const SilentAttempt Short = attempt(DurationMs(1000));

  CHECK(SilenceVerdict::Wait == judgeSilence(Short, Start + DurationMs(599)));
  CHECK(SilenceVerdict::Move == judgeSilence(Short, Start + DurationMs(600)));
}

TEST(SilentAttempt, KeepsTheRunIfAnotherWouldEndTooLate) {
  const SilentAttempt Short = attempt(DurationMs(1000));

  CHECK(SilenceVerdict::Move == judgeSilence(Short, Start + DurationMs(800)));
  CHECK(SilenceVerdict::Keep == judgeSilence(Short, Start + DurationMs(801)));
}
