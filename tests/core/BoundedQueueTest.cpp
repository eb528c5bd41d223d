#include "core/BoundedQueue.h"

#include "support/Property.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(BoundedQueue){};

TEST(BoundedQueue, PushFailsWhenFullAndKeepsQueuedValues) {
  BoundedQueue<int> Values(2);
  Values.push(1);
  Values.push(2);

  CHECK_FALSE(Values.push(3));

  LONGS_EQUAL(1, *Values.pop(DurationMs(0)));
  LONGS_EQUAL(2, *Values.pop(DurationMs(0)));
}

TEST(BoundedQueue, PopsQueuedValuesAfterClose) {
  BoundedQueue<int> Values(2);
  Values.push(7);

  Values.close();

  CHECK_FALSE(Values.push(8));
  LONGS_EQUAL(7, *Values.pop(DurationMs(0)));
  CHECK_FALSE(Values.pop(DurationMs(0)).has_value());
}

TEST(BoundedQueue, PopsInPushOrder) {
  checkProperty("popped = pushed", [](const std::vector<int> &Pushed) {
    BoundedQueue<int> Values(Pushed.size() + 1);
    for (int Value : Pushed)
      Values.push(Value);

    std::vector<int> Popped;
    while (auto Value = Values.pop(DurationMs(0)))
      Popped.push_back(*Value);

    RC_ASSERT(Popped == Pushed);
  });
}
