#include "app/Commands.h"
#include "app/Flags.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr std::size_t MaxCommandFlags = 13;

/// A subcommand with its arguments, help text and function.
struct CommandRow {
  std::string_view Name;
  std::string_view Positional; ///< Placeholder in the usage line.
  std::size_t PositionalCount;
  std::string_view Summary;
  ExitCode (*Run)(Arguments);
  std::array<std::string_view, MaxCommandFlags> Flags;
  std::string_view Example = {}; ///< Shown after the flags.
};

constexpr std::string_view CheckExample = R"(
example: a change that withdraws a key and sets an objective above the timeout

  $ fescuewood check --against published changed
  - key clerks 2d9ac2b9b9b4 (immediate)
  ~ route read: objective: 0 ms -> 3000 ms
  # 2 differences, 1 immediate
  warning: route read: objective 3000 ms: expected at most the timeout, 2000 ms (objective-over-timeout)

exit codes: 0 no errors, 1 warnings with --strict, 2 errors or invalid command
line, 3 an input cannot be read
)";

constexpr auto Commands = std::to_array<CommandRow>({
    {"run",
     "",
     0,
     "runs the node beside a target until SIGTERM",
     runNode,
     {"settings"}},
    {"check",
     "INPUT",
     1,
     "validates an intent folder, a JSON file or, for -, standard input",
     checkConfiguration,
     {"against", "node", "json", "strict", "timeout_ms"},
     CheckExample},
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
     "shows the events of several processes in causal order",
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

void printOverview(std::FILE *Stream) {
  fmt::print(Stream, "usage: fescuewood COMMAND [FLAGS]\n\ncommands:\n");
  for (const CommandRow &Row : Commands)
    fmt::print(Stream, "  {:<11} {}\n", Row.Name, Row.Summary);
  fmt::print(
      Stream,
      "\n\"fescuewood COMMAND --help\" shows a command's flags.\n"
      "exit codes: 0 success, 1 mesh unhealthy or warnings with --strict, "
      "2 invalid command line or configuration, 3 failure\n");
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
  fmt::print("{}", Row.Example);
}

/// Name of a flag that was set but is not accepted by the command, or empty.
std::string unsupportedFlag(const CommandRow &Row) {
  std::vector<gflags::CommandLineFlagInfo> AllFlags;
  gflags::GetAllFlags(&AllFlags);
  for (const auto &Info : AllFlags) {
    // Flags that gflags defines itself, such as --help, come from other files.
    const bool IsOwnFlag = Info.filename.find("app/Flags") != std::string::npos;
    if (!IsOwnFlag || Info.is_default)
      continue;
    if (std::find(Row.Flags.begin(), Row.Flags.end(), Info.name) ==
        Row.Flags.end())
      return Info.name;
  }
  return "";
}

bool isHelpRequested() {
  gflags::CommandLineFlagInfo Info;
  gflags::GetCommandLineFlagInfo("help", &Info);
  return Info.current_value == "true";
}

ExitCode usageError(const std::string &Message) {
  fmt::print(stderr, "fescuewood: {}\n", Message);
  return ExitCode::Usage;
}

/// Whether a flag without a value is a switch, such as --json or --nojson.
bool isSwitch(const std::string &Name) {
  const auto IsBool = [](const std::string &Candidate) {
    gflags::CommandLineFlagInfo Info;
    return gflags::GetCommandLineFlagInfo(Candidate.c_str(), &Info) &&
           Info.type == "bool";
  };
  return IsBool(Name) || (Name.starts_with("no") && IsBool(Name.substr(2)));
}

/// Describes why a flag cannot be set; empty when it was set.
std::string setFlag(const std::string &Name, const char *Value) {
  std::string Current;
  if (!gflags::GetCommandLineOption(Name.c_str(), &Current))
    return fmt::format("unknown flag --{}", Name);
  if (!Value)
    return fmt::format("--{} has no value", Name);
  if (gflags::SetCommandLineOption(Name.c_str(), Value).empty())
    return fmt::format("invalid value \"{}\" of --{}", Value, Name);
  return "";
}

/// Describes the first flag that is unknown or has no valid value; empty when
/// there is none. The flag library's parser would end the process with exit
/// code 1, which stands for another result.
std::string invalidFlag(std::span<char *const> Arguments) {
  for (std::size_t I = 0; I < Arguments.size(); ++I) {
    std::string_view Text = Arguments[I];
    if (Text == "--")
      break;
    if (!Text.starts_with('-') || Text == "-")
      continue;
    Text.remove_prefix(Text.starts_with("--") ? 2 : 1);
    const std::size_t Equals = Text.find('=');
    const std::string Name(Text.substr(0, Equals));
    const bool HasValue = Equals != std::string_view::npos;
    if (!HasValue && isSwitch(Name))
      continue;
    const char *Value = HasValue ? Text.data() + Equals + 1 : nullptr;
    if (!HasValue && I + 1 < Arguments.size())
      Value = Arguments[++I];
    if (std::string Error = setFlag(Name, Value); !Error.empty())
      return Error;
  }
  return "";
}

/// Parses the flags after the command's name and returns the positional
/// arguments.
std::vector<std::string> parseFlags(int Argc, char **Argv) {
  int FlagArgc = Argc - 1;
  char **FlagArgv = Argv + 1;
  constexpr bool RemoveFlags = true;
  gflags::ParseCommandLineNonHelpFlags(&FlagArgc, &FlagArgv, RemoveFlags);
  return {FlagArgv + 1, FlagArgv + FlagArgc};
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
    return usageError(
        fmt::format("unknown command \"{}\"; see \"fescuewood help\"", Name));
  if (const std::string Invalid = invalidFlag({Argv + 2, Argv + Argc});
      !Invalid.empty())
    return usageError(Invalid);
  const std::vector<std::string> Args = parseFlags(Argc, Argv);
  if (isHelpRequested()) {
    printCommandHelp(*Row);
    return ExitCode::Success;
  }
  if (const std::string Unsupported = unsupportedFlag(*Row);
      !Unsupported.empty())
    return usageError(
        fmt::format("{} does not accept --{}", Name, Unsupported));
  if (Args.size() != Row->PositionalCount)
    return usageError(fmt::format("{} expects {} argument(s) {}, got {}", Name,
                                  Row->PositionalCount, Row->Positional,
                                  Args.size()));
  return Row->Run(Args);
}

ExitCode printVersion(Arguments) {
  fmt::print("fescuewood {}\n", FESCUEWOOD_VERSION);
  return ExitCode::Success;
}

} // namespace fescuewood
