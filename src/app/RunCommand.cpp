#include "app/Commands.h"

#include <fmt/format.h>

namespace fescuewood {

ExitCode runNode(Arguments) {
  fmt::print(stderr, "run: composed next\n");
  return ExitCode::Failure;
}

} // namespace fescuewood
