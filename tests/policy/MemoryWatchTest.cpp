#include "policy/MemoryWatch.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(MemoryWatch){};

TEST(MemoryWatch, NoticesEachRiseOnce) {
  MemoryWatch Watch;

  CHECK_FALSE(Watch.update(50, 100));
  CHECK_TRUE(Watch.update(81, 100));
  CHECK_FALSE(Watch.update(90, 100));
  CHECK_FALSE(Watch.update(75, 100));
  CHECK_FALSE(Watch.update(81, 100));
  CHECK_FALSE(Watch.update(60, 100));
  CHECK_TRUE(Watch.update(81, 100));
}
