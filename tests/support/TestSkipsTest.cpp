#include "support/TestSkips.h"

#include <CppUTest/TestHarness.h>
#include <CppUTest/TestRegistry.h>

using namespace fescuewood;

namespace {

std::vector<std::string> namesOf(TestRegistry &Tests) {
  std::vector<std::string> Names;
  for (UtestShell *Test = Tests.getFirstTest(); Test != nullptr;
       Test = Test->getNext())
    Names.push_back(std::string(Test->getGroup().asCharString()) + "." +
                    Test->getName().asCharString());
  return Names;
}

} // namespace

TEST_GROUP(TestSkips) {
  TestRegistry From;
  TestRegistry To;
  UtestShell Tests[4] = {{"Clock", "Ticks", "file", 1},
                         {"Clock", "Stops", "file", 2},
                         {"Timer", "Ticks", "file", 3},
                         {"Timer", "Stops", "file", 4}};

  void setup() override {
    for (int I = 3; I >= 0; --I)
      From.addTest(&Tests[I]);
  }
};

TEST(TestSkips, LeavesOutSeveralTestsAndKeepsTheirNamesakes) {
  const auto Unknown = addTestsExcept({"Clock.Ticks", "Timer.Stops"}, From, To);

  CHECK(Unknown.empty());
  CHECK((std::vector<std::string>{"Clock.Stops", "Timer.Ticks"}) ==
        namesOf(To));
}

TEST(TestSkips, KeepsTheOrderOfAllTestsWithoutSkips) {
  const std::vector<std::string> Before = namesOf(From);

  addTestsExcept({}, From, To);

  CHECK(Before == namesOf(To));
}

// A skip that names no test would hide a renamed one.
TEST(TestSkips, ReportsANameThatIsNoTest) {
  CHECK(std::set<std::string>{"Clock.Rings"} ==
        addTestsExcept({"Clock.Rings", "Clock.Stops"}, From, To));
}

TEST(TestSkips, TakesOnlyTheSkipsFromTheArguments) {
  std::vector<const char *> Arguments = {"program", "--skip=Clock.Ticks", "-v",
                                         "--skip=Clock.Stops"};

  const auto Skips = takeSkips(Arguments);

  CHECK((std::set<std::string>{"Clock.Ticks", "Clock.Stops"}) == Skips);
  LONGS_EQUAL(2, Arguments.size());
  STRCMP_EQUAL("-v", Arguments[1]);
}
