/// \file
/// Runs a rapidcheck property inside a CppUTest test.

#ifndef FESCUEWOOD_TESTS_SUPPORT_PROPERTY_H
#define FESCUEWOOD_TESTS_SUPPORT_PROPERTY_H

// CppUTest replaces new by a macro that rapidcheck cannot be compiled under,
// so rapidcheck comes first.
#include <rapidcheck.h>

#include <sstream>
#include <string>
#include <utility>

/// Fails the present test with \p Report when \p Passed is false.
void requireProperty(bool Passed, const std::string &Report);

/// Checks \p Property for many generated arguments; fails the present test
/// with the smallest counterexample and its seed.
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
