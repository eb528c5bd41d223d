/// \file
/// `fescuewood-soak run` plays one soak; `fescuewood-soak target` is a target
/// that it starts.

#include "core/ReadFile.h"
#include "soak/Report.h"
#include "soak/TargetProcess.h"

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>

#include <gflags/gflags.h>

DEFINE_string(scenario, SOURCE_DIR "/soak/scenarios/mixed.ini",
              "file that describes the soak");
DEFINE_uint64(seed, 1, "selects the faults and the requests");
DEFINE_string(report, "soak-report",
              "new or empty folder for the report, logs and records");
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

/// Creates the folder; returns false if it exists and is not empty.
bool prepareFolder(const std::string &Path) {
  std::error_code Error;
  std::filesystem::create_directories(Path, Error);
  return !Error && std::filesystem::is_empty(Path, Error) && !Error;
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
  if (!prepareFolder(FLAGS_report))
    return badInput(FLAGS_report + " is not a new or empty folder");
  const std::string Folder = std::filesystem::absolute(FLAGS_report).string();
  const std::string Build = BINARY_DIR;
  const SoakPaths Paths{
      Build + "/fescuewood", Build + "/standins/Store",
      std::filesystem::read_symlink("/proc/self/exe").string(),
      std::string(SOURCE_DIR) + "/deploy/settings.ini", Folder};
  const SoakResult Result = Soak(*Plan, Paths, FLAGS_seed).run();
  const SoakInput Input{FLAGS_seed, FLAGS_scenario, *Text, Folder,
                        Paths.NodeProgram};
  const std::string Summary = reportText(Input, Result);
  std::ofstream(Folder + "/report.json") << reportJson(Input, Result);
  std::ofstream(Folder + "/report.txt") << Summary;
  std::printf("%s", Summary.c_str());
  if (!Result.Failure.empty())
    return CouldNotRun;
  return Result.Violations.empty() ? Held : Broken;
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
