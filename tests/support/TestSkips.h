/// \file
/// Leaves out single tests of a test program.
///
/// CppUTest combines its own name filters with "or", so two exclusions would
/// exclude nothing, and a name filter applies to all groups.

#ifndef FESCUEWOOD_TESTS_SUPPORT_TESTSKIPS_H
#define FESCUEWOOD_TESTS_SUPPORT_TESTSKIPS_H

#include <set>
#include <string>
#include <vector>

class TestRegistry;

namespace fescuewood {

/// Flag of a test program that leaves out the test "Group.Name".
inline constexpr const char *SkipFlag = "--skip=";

/// Moves the arguments \ref SkipFlag from \p Arguments to the returned names.
std::set<std::string> takeSkips(std::vector<const char *> &Arguments);

/// Adds the tests of \p From to \p To, in the same order, except those named
/// in \p Skips. Returns the names that are no test of \p From.
std::set<std::string> addTestsExcept(const std::set<std::string> &Skips,
                                     TestRegistry &From, TestRegistry &To);

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_SUPPORT_TESTSKIPS_H
