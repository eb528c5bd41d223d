#include "support/Property.h"

#include "policy/AnswerMemory.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::size_t Megabyte = 1 << 20;

} // namespace

TEST_GROUP(AnswerMemory){};

TEST(AnswerMemory, LimitIsAShareOfTheMachinesMemory) {
  LONGS_EQUAL(15 * Megabyte,
              answerMemoryLimit(24 * Megabyte, 0.15, 100 * Megabyte));
  LONGS_EQUAL(24 * Megabyte,
              answerMemoryLimit(24 * Megabyte, 0.15, 512 * Megabyte));
  LONGS_EQUAL(24 * Megabyte, answerMemoryLimit(24 * Megabyte, 0.15, 0));
}

TEST(AnswerMemory, LargeAnswerThatDoesNotFitIsRefused) {
  AnswerMemory Memory(Megabyte);
  Memory.onAnswer("download", 200, 400'000);

  const std::size_t First = Memory.reserve("download");
  CHECK_TRUE(Memory.fits("download", 0));
  Memory.reserve("download");
  CHECK_FALSE(Memory.fits("download", 0));

  Memory.release(First);
  CHECK_TRUE(Memory.fits("download", 0));
  CHECK_FALSE(Memory.fits("download", 400'000));
}

TEST(AnswerMemory, SmallAnswersAndASingleLargeOneAlwaysFit) {
  AnswerMemory Memory(Megabyte);
  Memory.onAnswer("read", 200, 1'000);
  Memory.onAnswer("archive", 200, 3 * Megabyte);

  CHECK_TRUE(Memory.fits("read", 2 * Megabyte));
  CHECK_TRUE(Memory.fits("unknown", 2 * Megabyte));
  CHECK_TRUE(Memory.fits("archive", 0));
  CHECK_FALSE(Memory.fits("archive", 1));
}

TEST(AnswerMemory, FailuresDoNotLowerTheExpectedSize) {
  AnswerMemory Memory(Megabyte);
  Memory.onAnswer("download", 200, 400'000);

  for (int I = 0; I < 100; ++I)
    Memory.onAnswer("download", 500, 200);

  LONGS_EQUAL(400'000, Memory.expectedBytes("download"));
}

TEST(AnswerMemory, ForgetsTheRouteWithTheSmallestAnswersWhenFull) {
  AnswerMemory Memory(Megabyte);
  for (std::size_t I = 0; I < MaxSizedRoutes; ++I)
    Memory.onAnswer("route" + std::to_string(I), 200, 1000 + I);

  Memory.onAnswer("download", 200, 400'000);

  LONGS_EQUAL(400'000, Memory.expectedBytes("download"));
  LONGS_EQUAL(0, Memory.expectedBytes("route0"));
  LONGS_EQUAL(1001, Memory.expectedBytes("route1"));
}

TEST(AnswerMemory, ExpectedSizeFollowsTheAnswersOfARoute) {
  AnswerMemory Memory(Megabyte);

  for (int I = 0; I < 100; ++I)
    Memory.onAnswer("download", 200, 100'000);
  for (int I = 0; I < 100; ++I)
    Memory.onAnswer("download", 200, 200'000);

  CHECK_TRUE(Memory.expectedBytes("download") > 199'000);
  CHECK_TRUE(Memory.expectedBytes("download") <= 200'000);
}

// Runs that start and end and answers that are dropped, in any order.
TEST(AnswerMemory, HoldsTheLimitForAnswersOfTheExpectedSize) {
  checkProperty("within the limit", [] {
    AnswerMemory Memory(10 * LargeAnswerBytes);
    const auto Size =
        *rc::gen::inRange<std::size_t>(LargeAnswerBytes, 3 * LargeAnswerBytes);
    Memory.onAnswer("download", 200, Size);
    std::vector<std::size_t> Running;
    std::size_t Held = 0;
    for (const int Operation :
         *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4))) {
      if (Operation <= 1 && Memory.fits("download", Held)) {
        Running.push_back(Memory.reserve("download"));
      } else if (Operation == 2 && !Running.empty()) {
        Memory.release(Running.back());
        Running.pop_back();
        Memory.onAnswer("download", 200, Size);
        Held += Size;
      } else if (Operation == 3 && Held > 0) {
        Held -= Size;
      }
      RC_ASSERT(Held + Memory.reservedBytes() <= Memory.limit());
    }
    while (!Running.empty()) {
      Memory.release(Running.back());
      Running.pop_back();
    }
    RC_ASSERT(Memory.reservedBytes() == 0U);
  });
}
