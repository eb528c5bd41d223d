#include "core/Trim.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Trim){};

TEST(Trim, RemovesGivenCharactersFromBothEndsOnly) {
  CHECK(trimmed("  a b\t", " ") == "a b\t");
  CHECK(trimmed(" \ta b\t ", " \t") == "a b");
  CHECK(trimmed("a", " ") == "a");
}

TEST(Trim, ReturnsEmptyForBlankText) {
  CHECK(trimmed("", " ").empty());
  CHECK(trimmed("   ", " ").empty());
}
