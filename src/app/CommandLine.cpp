#include "app/Commands.h"
#include "app/Flags.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr std::size_t MaxCommandFlags = 13;

/// One row per subcommand: what it is called, takes and does.
struct CommandRow {
  std::string_view Name;
  std::string_view Positional; ///< Shown in the usage line.
  std::size_t PositionalCount;
  std::string_view Summary;
  ExitCode (*Run)(Arguments);
  std::array<std::string_view, MaxCommandFlags> Flags;
};

constexpr auto Commands = std::to_array<CommandRow>({
    {"run",
     "",
     0,
     "runs the node beside a target until SIGTERM",
     runNode,
     {"settings"}},
    {"check",
     "DIR",
     1,
     "merges and validates an intent folder",
     checkIntent,
     {}},
    {"key-digest",
     "",
     0,
     "prints the digest of a key read from standard input",
     printKeyDigest,
     {}},
    {"status",
     "",
     0,
     "shows versions, targets, domains and organisations",
     showStatus,
     {"node", "json", "timeout_ms"}},
    {"timeline",
     "",
     0,
     "shows the events of all processes in one order",
     showTimeline,
     {"node", "log", "json", "svg", "call", "request", "organisation", "target",
      "domain", "instance", "event", "from_ms", "to_ms"}},
    {"explain",
     "",
     0,
     "shows where a node would send a request, and why",
     explainRequest,
     {"node", "method", "path", "organisation", "timeout_ms"}},
    {"version", "", 0, "prints the program's version", printVersion, {}},
});

const CommandRow *findCommand(std::string_view Name) {
  const auto *It =
      std::find_if(Commands.begin(), Commands.end(),
                   [&](const CommandRow &Row) { return Row.Name == Name; });
  return It == Commands.end() ? nullptr : It;
}

void printOverview(std::FILE *To) {
  fmt::print(To, "usage: fescuewood COMMAND [FLAGS]\n\ncommands:\n");
  for (const CommandRow &Row : Commands)
    fmt::print(To, "  {:<11} {}\n", Row.Name, Row.Summary);
  fmt::print(To, "\n\"fescuewood COMMAND --help\" shows a command's flags.\n"
                 "exit codes: 0 success, 1 the answer is no, 2 wrong command "
                 "line, 3 failure\n");
}

void printCommandHelp(const CommandRow &Row) {
  fmt::print("usage: fescuewood {}{}{} [FLAGS]\n{}\n", Row.Name,
             Row.Positional.empty() ? "" : " ", Row.Positional, Row.Summary);
  for (std::string_view Name : Row.Flags) {
    if (Name.empty())
      continue;
    gflags::CommandLineFlagInfo Info;
    gflags::GetCommandLineFlagInfo(std::string(Name).c_str(), &Info);
    fmt::print("  --{:<14} {} (default: {})\n", Info.name, Info.description,
               Info.default_value.empty() ? "none" : Info.default_value);
  }
}

/// Name of a flag that was set though the command does not take it, or empty.
std::string foreignFlag(const CommandRow &Row) {
  std::vector<gflags::CommandLineFlagInfo> All;
  gflags::GetAllFlags(&All);
  for (const auto &Info : All) {
    // The library's own flags, such as --help, come from its own files.
    const bool Ours = Info.filename.find("app/Flags") != std::string::npos;
    if (!Ours || Info.is_default)
      continue;
    if (std::find(Row.Flags.begin(), Row.Flags.end(), Info.name) ==
        Row.Flags.end())
      return Info.name;
  }
  return "";
}

bool helpWanted() {
  gflags::CommandLineFlagInfo Info;
  gflags::GetCommandLineFlagInfo("help", &Info);
  return Info.current_value == "true";
}

ExitCode usageError(const std::string &Message) {
  fmt::print(stderr, "fescuewood: {}\n", Message);
  return ExitCode::Usage;
}

/// Lets the library parse the flags behind the command's name.
std::vector<std::string> parseFlags(int Argc, char **Argv) {
  int Count = Argc - 1;
  char **Words = Argv + 1;
  constexpr bool RemoveFlags = true;
  gflags::ParseCommandLineNonHelpFlags(&Count, &Words, RemoveFlags);
  return {Words + 1, Words + Count};
}

} // namespace

ExitCode runCommandLine(int Argc, char **Argv) {
  if (Argc < 2) {
    printOverview(stderr);
    return ExitCode::Usage;
  }
  const std::string_view Name = Argv[1];
  if (Name == "--help" || Name == "-help" || Name == "help") {
    printOverview(stdout);
    return ExitCode::Success;
  }
  const CommandRow *Row = findCommand(Name);
  if (!Row)
    return usageError(fmt::format(
        "unknown command \"{}\"; \"fescuewood help\" lists them", Name));
  const std::vector<std::string> Left = parseFlags(Argc, Argv);
  if (helpWanted()) {
    printCommandHelp(*Row);
    return ExitCode::Success;
  }
  if (const std::string Foreign = foreignFlag(*Row); !Foreign.empty())
    return usageError(fmt::format("{} does not take --{}", Name, Foreign));
  if (Left.size() != Row->PositionalCount)
    return usageError(fmt::format("{} takes {} argument(s) {}, not {}", Name,
                                  Row->PositionalCount, Row->Positional,
                                  Left.size()));
  return Row->Run(Left);
}

ExitCode printVersion(Arguments) {
  fmt::print("fescuewood {}\n", FESCUEWOOD_VERSION);
  return ExitCode::Success;
}

} // namespace fescuewood
