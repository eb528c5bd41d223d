#include "policy/MissingServices.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start{1000};

} // namespace

TEST_GROUP(MissingServices) { MissingServices Missing; };

TEST(MissingServices, MissLastsOnceNoCallHasFoundATargetForSomeTime) {
  CHECK_FALSE(Missing.miss("queue", Start));
  CHECK_FALSE(Missing.miss("queue", Start + DurationMs(1999)));
  CHECK_TRUE(Missing.miss("queue", Start + DurationMs(2000)));
  CHECK_FALSE(Missing.miss("other", Start + DurationMs(2000)));
}

TEST(MissingServices, ATargetThatIsFoundEndsTheMiss) {
  Missing.miss("queue", Start);
  Missing.find("queue");

  CHECK_FALSE(Missing.miss("queue", Start + DurationMs(2000)));
}

TEST(MissingServices, AMissThatNoCallHasSeenForSomeTimeBeginsAgain) {
  Missing.miss("queue", Start);

  CHECK_FALSE(Missing.miss("queue", Start + DurationMs(2001)));
}
