#include "app/Commands.h"

#include <cstdio>
#include <cstdlib>

int main(int Argc, char **Argv) {
  const auto Code = static_cast<int>(fescuewood::runCommandLine(Argc, Argv));
  // Skips the exit handlers: those of the logging library wait for its idle
  // threads, which can take longer than the time that a process has to exit.
  // All components of the program have stopped before.
  std::fflush(nullptr);
  std::quick_exit(Code);
}
