#include "core/Trim.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Trim){};

TEST(Trim, TakesTheNamedBlanksOffBothEndsOnly) {
  CHECK(trimmed("  a b\t", " ") == "a b\t");
  CHECK(trimmed(" \ta b\t ", " \t") == "a b");
  CHECK(trimmed("a", " ") == "a");
}

TEST(Trim, LeavesNothingOfBlanksAlone) {
  CHECK(trimmed("", " ").empty());
  CHECK(trimmed("   ", " ").empty());
}
