#include "support/Property.h"

#include <CppUTest/TestHarness.h>

void requireProperty(bool Passed, const std::string &Report) {
  CHECK_TRUE_TEXT(Passed, Report.c_str());
}
