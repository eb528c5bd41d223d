/// \file
/// Functions of the program's subcommands, one for each.
///
/// \ref runCommandLine selects the subcommand, parses its flags and calls its
/// function with the positional arguments. To add a subcommand, add a row to
/// the table in CommandLine.cpp.

#ifndef FESCUEWOOD_APP_COMMANDS_H
#define FESCUEWOOD_APP_COMMANDS_H

#include "app/ExitCode.h"

#include <span>
#include <string>

namespace fescuewood {

/// Positional arguments of a subcommand.
using Arguments = std::span<const std::string>;

/// Runs a node until SIGTERM or SIGINT, then drains it.
ExitCode runNode(Arguments Args);

/// Validates a configuration in either of its forms and prints the result.
ExitCode checkConfiguration(Arguments Args);

/// Prints the digest of a key that is read from standard input.
ExitCode printKeyDigest(Arguments Args);

/// Prints the state of the mesh as nodes report it.
ExitCode showStatus(Arguments Args);

/// Prints or draws the merged events of nodes and log files.
ExitCode showTimeline(Arguments Args);

/// Prints which route and which targets a node would use for a request.
ExitCode explainRequest(Arguments Args);

/// Prints the program's version.
ExitCode printVersion(Arguments Args);

/// Parses the command line and runs the subcommand that it names.
ExitCode runCommandLine(int Argc, char **Argv);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_COMMANDS_H
