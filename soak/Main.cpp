/// \file
/// `fescuewood-soak run` plays one soak; `fescuewood-soak target` is a target
/// that it starts.

#include "core/ReadFile.h"
#include "soak/Report.h"
#include "soak/TargetProcess.h"

#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <optional>
#include <unistd.h>

#include <gflags/gflags.h>

DEFINE_string(scenario, SOURCE_DIR "/soak/scenarios/mixed.ini",
              "file that describes the soak");
DEFINE_uint64(seed, 1, "selects the faults and the requests");
DEFINE_string(report, "",
              "new or empty folder for the report, logs and records; without "
              "one they are kept only if a promise is broken");
DEFINE_string(program, BINARY_DIR "/fescuewood", "the node's program");
DEFINE_string(listen, "", "target: IP:port");
DEFINE_string(id, "", "target: its ID");
DEFINE_uint64(node, 0, "target: index of the node beside it");
DEFINE_string(node_address, "", "target: where it sends calls of its own");
DEFINE_string(record, "", "target: file that it appends its runs to");
DEFINE_string(mode_file, "", "target: file that says how it behaves");

namespace {

using namespace fescuewood;
using namespace fescuewood::soak;

enum ExitCode { Held = 0, Broken = 1, BadInput = 2, CouldNotRun = 3 };

int badInput(const std::string &Reason) {
  std::fprintf(stderr, "%s\n", Reason.c_str());
  return BadInput;
}

/// The folder of the report, created if need be; nothing if it is not empty.
std::optional<std::string> prepareFolder() {
  if (FLAGS_report.empty()) {
    std::string Path =
        (std::filesystem::temp_directory_path() / "fescuewood-soak-XXXXXX")
            .string();
    if (!mkdtemp(Path.data()))
      return std::nullopt;
    return Path;
  }
  std::error_code Error;
  std::filesystem::create_directories(FLAGS_report, Error);
  if (Error || !std::filesystem::is_empty(FLAGS_report, Error) || Error)
    return std::nullopt;
  return std::filesystem::absolute(FLAGS_report).string();
}

int runSoak() {
  constexpr std::size_t MaxScenarioBytes = 64 * 1024;
  const auto Text = readFile(FLAGS_scenario, MaxScenarioBytes);
  if (!Text)
    return badInput("cannot read the scenario " + FLAGS_scenario);
  Problems ProblemList;
  const auto Plan = readScenario(*Text, FLAGS_scenario, ProblemList);
  if (!Plan)
    return badInput(problemsText(ProblemList));
  if (access(FLAGS_program.c_str(), X_OK) != 0)
    return badInput("cannot run " + FLAGS_program);
  const auto Folder = prepareFolder();
  if (!Folder)
    return badInput("not a new or empty folder: " + FLAGS_report);
  const SoakPaths Paths{
      FLAGS_program, std::string(BINARY_DIR) + "/standins/Store",
      std::filesystem::read_symlink("/proc/self/exe").string(),
      std::string(SOURCE_DIR) + "/deploy/settings.ini", *Folder};
  const SoakResult Result = Soak(*Plan, Paths, FLAGS_seed).run();
  const SoakInput Input{FLAGS_seed, FLAGS_scenario, *Text, *Folder,
                        Paths.NodeProgram};
  const std::string Summary = reportText(Input, Result);
  std::ofstream(*Folder + "/report.json") << reportJson(Input, Result);
  std::ofstream(*Folder + "/report.txt") << Summary;
  std::printf("%sreport: %s\n", Summary.c_str(), Folder->c_str());
  if (!Result.Failure.empty())
    return CouldNotRun;
  if (!Result.Violations.empty())
    return Broken;
  if (FLAGS_report.empty())
    std::filesystem::remove_all(*Folder);
  return Held;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("run --scenario FILE --seed N --report FOLDER");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  try {
    if (Argc == 2 && std::strcmp(Argv[1], "run") == 0)
      return runSoak();
    if (Argc == 2 && std::strcmp(Argv[1], "target") == 0) {
      runTarget({FLAGS_listen, FLAGS_id, FLAGS_node, FLAGS_node_address,
                 FLAGS_record, FLAGS_mode_file});
      return Held;
    }
  } catch (const std::exception &Error) {
    std::fprintf(stderr, "%s\n", Error.what());
    return CouldNotRun;
  }
  return badInput("usage: fescuewood-soak run [--scenario FILE] [--seed N] "
                  "[--report FOLDER]");
}
