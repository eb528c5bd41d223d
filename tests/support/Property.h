/// \file
/// Adapter that runs a rapidcheck property inside a CppUTest test.

#ifndef FESCUEWOOD_TESTS_SUPPORT_PROPERTY_H
#define FESCUEWOOD_TESTS_SUPPORT_PROPERTY_H

// rapidcheck has to be included before CppUTest, which defines `new` as a macro
// under which rapidcheck does not compile.
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <utility>

/// Fails the current test with \p Report when \p Passed is false.
void requireProperty(bool Passed, const std::string &Report);

/// Checks \p Property with generated arguments. On failure, fails the current
/// test and reports the smallest counterexample and its seed.
template <typename Callable>
void checkProperty(const std::string &Description, Callable &&Property) {
  const auto Result = rc::detail::checkTestable(
      std::forward<Callable>(Property),
      rc::detail::TestMetadata{Description, Description});
  std::ostringstream Report;
  rc::detail::printResultMessage(Result, Report);
  requireProperty(Result.template is<rc::detail::SuccessResult>(),
                  Description + ": " + Report.str());
}

#endif // FESCUEWOOD_TESTS_SUPPORT_PROPERTY_H
