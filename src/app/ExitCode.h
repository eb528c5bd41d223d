/// \file
/// Exit codes of the program, as documented in docs/COMMANDS.md.

#ifndef FESCUEWOOD_APP_EXITCODE_H
#define FESCUEWOOD_APP_EXITCODE_H

namespace fescuewood {

enum class ExitCode : int {
  Success = 0,
  Negative = 1, ///< The mesh is unhealthy.
  Usage = 2,    ///< The command line or the checked input is invalid.
  Failure = 3,  ///< Settings, an address or a node cannot be used.
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_EXITCODE_H
