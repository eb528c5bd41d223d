/// \file
/// Exit codes of the program; docs/COMMANDS.md lists them for scripts.

#ifndef FESCUEWOOD_APP_EXITCODE_H
#define FESCUEWOOD_APP_EXITCODE_H

namespace fescuewood {

enum class ExitCode : int {
  Success = 0,
  Negative = 1, ///< The answer is no: intent refused, or the mesh not well.
  Usage = 2,    ///< The command line is wrong.
  Failure = 3,  ///< Settings, an address or a node could not be used.
};

} // namespace fescuewood

#endif // FESCUEWOOD_APP_EXITCODE_H
