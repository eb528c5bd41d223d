#include "app/Commands.h"

#include <cstdio>
#include <cstdlib>

int main(int Argc, char **Argv) {
  const auto Code = static_cast<int>(fescuewood::runCommandLine(Argc, Argv));
  // Everything of ours has ended. The exit handlers of the logging library wait
  // for its idle threads, which once took longer than a leaving process has.
  std::fflush(nullptr);
  std::quick_exit(Code);
}
