#include "app/Commands.h"

int main(int Argc, char **Argv) {
  return static_cast<int>(fescuewood::runCommandLine(Argc, Argv));
}
