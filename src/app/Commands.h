/// \file
/// The subcommands of the program, each as one function.
///
/// \ref runCommandLine picks the subcommand, parses its flags and calls its
/// function with the arguments that are left. To add one, add a row to the
/// table in CommandLine.cpp.

#ifndef FESCUEWOOD_APP_COMMANDS_H
#define FESCUEWOOD_APP_COMMANDS_H

#include "app/ExitCode.h"

#include <span>
#include <string>

namespace fescuewood {

/// What is left of the command line after the flags.
using Arguments = std::span<const std::string>;

/// Runs a node until SIGTERM or SIGINT, then drains it.
ExitCode runNode(Arguments Left);

/// Merges and validates an intent folder and prints the result.
ExitCode checkIntent(Arguments Left);

/// Prints the digest of a key that is read from standard input.
ExitCode printKeyDigest(Arguments Left);

/// Prints what nodes know of the mesh.
ExitCode showStatus(Arguments Left);

/// Prints or draws the events of nodes or of files.
ExitCode showTimeline(Arguments Left);

/// Prints which route and targets a node would use for a request.
ExitCode explainRequest(Arguments Left);

/// Prints the program's version.
ExitCode printVersion(Arguments Left);

/// Parses the command line and runs the subcommand that it names.
ExitCode runCommandLine(int Argc, char **Argv);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_COMMANDS_H
