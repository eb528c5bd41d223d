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
  return RUN_ALL_TESTS(Argc, Argv);
}
