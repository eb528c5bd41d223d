#include <cstdlib>

#include <CppUTest/CommandLineTestRunner.h>
#include <CppUTest/TestRegistry.h>

int main(int Argc, char **Argv) {
  // One seed by default, so that every run gives the same verdict; a caller
  // who sets RC_PARAMS explores further.
  constexpr int KeepExisting = 0;
  setenv("RC_PARAMS", "seed=20261204 max_success=100", KeepExisting);
  // The leak detector would report the statics of rapidcheck as leaks.
  MemoryLeakWarningPlugin::turnOffNewDeleteOverloads();
  return RUN_ALL_TESTS(Argc, Argv);
}
