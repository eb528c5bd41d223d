#include "support/TestSkips.h"

#include <cstdio>
#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int Argc, char **Argv) {
  // A fixed seed by default makes runs reproducible; set RC_PARAMS to explore
  // other seeds.
  constexpr int KeepExisting = 0;
  setenv("RC_PARAMS", "seed=20261204 max_success=100", KeepExisting);
  // CppUTest's leak detector reports rapidcheck's static objects as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();

  std::vector<const char *> Arguments(Argv, Argv + Argc);
  const auto Skips = fescuewood::takeSkips(Arguments);
  TestRegistry Kept;
  const auto Unknown = fescuewood::addTestsExcept(
      Skips, *TestRegistry::getCurrentRegistry(), Kept);
  for (const std::string &Name : Unknown)
    std::fprintf(stderr, "no such test to skip: %s\n", Name.c_str());
  if (!Unknown.empty())
    return EXIT_FAILURE;
  for (const std::string &Name : Skips)
    std::printf("skipped: %s\n", Name.c_str());
  std::fflush(stdout);
  Kept.setCurrentRegistry(&Kept);
  return RUN_ALL_TESTS(static_cast<int>(Arguments.size()), Arguments.data());
}
