#include "support/TestSkips.h"

#include <string_view>

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestRegistry.h>

namespace fescuewood {

namespace {

std::string fullName(const UtestShell &Test) {
  return std::string(Test.getGroup().asCharString()) + "." +
         Test.getName().asCharString();
}

} // namespace

std::set<std::string> takeSkips(std::vector<const char *> &Arguments) {
  std::set<std::string> Skips;
  std::erase_if(Arguments, [&](std::string_view Argument) {
    if (!Argument.starts_with(SkipFlag))
      return false;
    Skips.emplace(Argument.substr(std::string_view(SkipFlag).size()));
    return true;
  });
  return Skips;
}

std::set<std::string> addTestsExcept(const std::set<std::string> &Skips,
                                     TestRegistry &From, TestRegistry &To) {
  std::set<std::string> Unknown = Skips;
  std::vector<UtestShell *> Kept;
  for (UtestShell *Test = From.getFirstTest(); Test != nullptr;
       Test = Test->getNext()) {
    const std::string Name = fullName(*Test);
    Unknown.erase(Name);
    if (!Skips.contains(Name))
      Kept.push_back(Test);
  }
  // A registry adds a test in front of those that it has.
  for (auto Test = Kept.rbegin(); Test != Kept.rend(); ++Test)
    To.addTest(*Test);
  return Unknown;
}

} // namespace fescuewood
