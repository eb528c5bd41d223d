/// \file
/// Benchmark of the call scenarios on real processes.
///
/// Runs nodes with stand-in targets, a stand-in platform, a load driver, and
/// fault proxies between the nodes. Each deployment runs under the product's
/// policy and under baseline policies. All scenarios of one policy run in
/// sequence on one mesh, so that its targets are warm.

#include "ScenarioFaults.h"
#include "ScenarioReport.h"

#include <atomic>
#include <cstdio>
#include <future>
#include <mutex>

#include <gflags/gflags.h>

DEFINE_string(binaries, "", "build folder; defaults to that of this program");
DEFINE_string(deployment, "both", "stalls (3 domains), agreste (4) or both");
DEFINE_string(scenario, "all",
              "scenario names, separated by semicolons, or all");
DEFINE_string(policy, "usual",
              "policy names, separated by semicolons, all, or usual, which "
              "runs each baseline only in its relevant scenarios");
DEFINE_double(load, 0.6, "fraction of all slots in use without a fault");
DEFINE_double(rate, 0, "calls per second; 0 derives the rate from --load");
DEFINE_int32(service_ms, 40, "mean service time at a warm target");
DEFINE_int32(cold_ms, 6000, "warm-up time of a restarted target");
DEFINE_double(seconds, 18,
              "duration of a scenario; faults are active from 2 s to 12 s");
DEFINE_double(warm_up_seconds, 12,
              "duration of the load before the first scenario");
DEFINE_double(settle_seconds, 10,
              "duration of the load after a scenario that leaves targets cold "
              "or a domain below its full load");
DEFINE_uint32(seed, 1, "seed of the arrivals");
DEFINE_bool(alike, false,
            "send identical requests for all reads of an organisation on a "
            "route");
DEFINE_uint32(at_once, 1, "number of meshes that run concurrently");
DEFINE_bool(keep, false, "keep the folder of each mesh, including its logs");
DEFINE_string(json, "",
              "file to append JSON lines to; standard output if empty");

using namespace fescuewood::bench;

namespace {

/// Load at which one organisation's fivefold rate exceeds the capacity of the
/// targets, as a fraction of all slots.
constexpr double NoisyScenarioLoad = 0.8;

/// Returns whether targets have to warm up again after a scenario.
bool needsSettling(const std::string &Scenario) {
  return Scenario.starts_with("half") || Scenario.starts_with("domain");
}

bool isListed(const std::string &List, const std::string &Name) {
  std::istringstream Names(List);
  for (std::string Entry; std::getline(Names, Entry, ';');)
    if (Entry == Name || Entry == "all" || Entry == "both")
      return true;
  return false;
}

/// Collects the results of all meshes and prints each row as it arrives.
/// Thread-safe.
class Results {
public:
  void add(const ScenarioRun &Run, const ScenarioFigures &Figures) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    std::fputs(scenarioRow(Run, Figures).c_str(), stdout);
    std::fflush(stdout);
    Json += scenarioJson(Run, Figures);
    GuaranteesHeld &=
        Run.Policy != "product" ||
        (Figures.All.Doubled == 0 && Figures.All.FalseNotRun == 0 &&
         Figures.All.Foreign == 0 && Figures.All.FalseRan == 0);
  }

  void writeJson() const {
    if (FLAGS_json.empty())
      std::printf("\n%s", Json.c_str());
    else
      std::ofstream(FLAGS_json, std::ios::app) << Json;
  }

  /// Returns whether no run under the product's policy broke a guarantee: a
  /// request that ran twice, a false "not run" or "ran", or a foreign answer.
  bool guaranteesHeld() const { return GuaranteesHeld; }

private:
  std::mutex Mutex;
  std::string Json;
  bool GuaranteesHeld = true;
};

/// Runs the scenarios of one deployment under one policy, on its own mesh.
class MeshJob {
public:
  MeshJob(const Deployment &Size, const Policy &RunPolicy,
          std::vector<std::string> Scenarios, const std::string &Binaries)
      : Size(Size), RunPolicy(RunPolicy), Scenarios(std::move(Scenarios)),
        Mesh(meshOptions(Size, RunPolicy, targetBehaviour(), Binaries)) {}

  void execute(Results &Output) {
    Mesh.start();
    for (const standins::MeshInstance &Instance : Mesh.Instances)
      standins::Mesh::await("the node admits requests",
                            [&] { return admits(Instance); });
    if (FLAGS_keep)
      std::fprintf(stderr, "%s, %s: %s\n", Size.Name.c_str(),
                   RunPolicy.Name.c_str(), Mesh.folder().c_str());
    runLoad(FLAGS_warm_up_seconds);
    std::vector<ScenarioRun> Runs;
    for (const std::string &Scenario : Scenarios) {
      Runs.push_back(run(Scenario));
      if (needsSettling(Scenario) && &Scenario != &Scenarios.back())
        runLoad(FLAGS_settle_seconds);
    }
    // The target's record is read after all scenarios, so that a late second
    // run of a request is counted.
    const standins::RunRecord Record = Mesh.runs();
    for (const ScenarioRun &Finished : Runs)
      Output.add(Finished, figuresOf(Finished, Record));
  }

private:
  static TargetBehaviour targetBehaviour() {
    TargetBehaviour Result;
    Result.ServiceMs = FLAGS_service_ms;
    Result.ColdMs = FLAGS_cold_ms;
    return Result;
  }

  bool admits(const standins::MeshInstance &Instance) const {
    constexpr int HttpOk = 200;
    const std::string Path =
        fmt::format("/{}/read", Size.Services.front().Name);
    return Mesh.request(Instance, "GET", Path,
                        "X-Api-Key: " + keyOf(0) + "\r\n")
               .status() == HttpOk;
  }

  double callsPerSecond(const std::string &Scenario) const {
    if (FLAGS_rate > 0)
      return FLAGS_rate;
    const double Load = Scenario == "5x org"
                            ? std::max(FLAGS_load, NoisyScenarioLoad)
                            : FLAGS_load;
    return arrivalRate(Size, Load, FLAGS_service_ms);
  }

  standins::LoadOptions optionsFor(const ScenarioLoad &Load, double Seconds) {
    standins::LoadOptions Options;
    Options.Nodes = Mesh.callerAddresses();
    Options.Streams = Load.Streams;
    Options.Seconds = Seconds;
    Options.Seed = FLAGS_seed;
    Options.TimeoutMs = WaitLimitMs + WriteLimitMs;
    Options.MarkPrefix = fmt::format("run{}-", ++LoadCount);
    Options.Usable = [this](std::size_t Node) {
      return NodesInUse.isUsed(Node);
    };
    return Options;
  }

  /// Runs load whose results are discarded.
  void runLoad(double Seconds) {
    ScenarioTimes Times;
    Times.End = Seconds;
    const ScenarioLoad Load = regularLoad(Size, callsPerSecond(""), Times);
    standins::LoadDriver(optionsFor(Load, Seconds)).run();
  }

  ScenarioRun run(const std::string &Scenario) {
    ScenarioRun Run;
    Run.Deployment = Size.Name;
    Run.Scenario = Scenario;
    Run.Policy = RunPolicy.Name;
    Run.Seed = FLAGS_seed;
    Run.PerSecond = callsPerSecond(Scenario);
    Run.Times.End = FLAGS_seconds;
    Run.Load = regularLoad(Size, Run.PerSecond, Run.Times);
    if (Scenario == "5x org")
      addExcessLoad(Run.Load, Size, Run.PerSecond, Run.Times);
    if (Scenario == "crashing request")
      addCrashes(Run.Load, Size, Run.PerSecond, Run.Times);
    if (FLAGS_alike)
      makeIdentical(Run.Load, std::to_string(LoadCount));
    const int CrashesBefore = crashes();
    runWithFault(Run);
    Run.TargetCrashes = crashes() - CrashesBefore;
    return Run;
  }

  /// Runs the load on another thread while this one starts and ends the fault.
  void runWithFault(ScenarioRun &Run) {
    using std::chrono::duration;
    using std::chrono::steady_clock;
    ScenarioFault Fault(Run.Scenario, Size, Mesh, NodesInUse);
    const auto Start = steady_clock::now();
    const auto At = [Start](double Seconds) {
      return Start + std::chrono::duration_cast<steady_clock::duration>(
                         duration<double>(Seconds));
    };
    auto Running = std::async(std::launch::async,
                              [Options = optionsFor(Run.Load, Run.Times.End)] {
                                return standins::LoadDriver(Options).run();
                              });
    std::this_thread::sleep_until(At(Run.Times.FaultFrom));
    Fault.begin();
    Fault.waitUntil(At(Run.Times.FaultUntil));
    Fault.end();
    Run.Samples = Running.get();
  }

  int crashes() const {
    int All = 0;
    for (const standins::MeshInstance &Instance : Mesh.Instances)
      All += Mesh.targetStats(Instance)["crashes"].get<int>();
    return All;
  }

  const Deployment &Size;
  const Policy &RunPolicy;
  std::vector<std::string> Scenarios;
  standins::Mesh Mesh;
  UsableNodes NodesInUse;
  int LoadCount = 0;
};

std::vector<std::string> scenariosOf(const Policy &RunPolicy) {
  std::vector<std::string> Selected;
  for (const char *Name : ScenarioNames) {
    const bool InDefaultSet =
        FLAGS_policy != "usual" || RunPolicy.Scenarios.empty() ||
        std::find(RunPolicy.Scenarios.begin(), RunPolicy.Scenarios.end(),
                  Name) != RunPolicy.Scenarios.end();
    if (InDefaultSet && isListed(FLAGS_scenario, Name))
      Selected.emplace_back(Name);
  }
  return Selected;
}

std::vector<std::unique_ptr<MeshJob>>
selectedJobs(const std::string &Binaries) {
  std::vector<std::unique_ptr<MeshJob>> Jobs;
  for (const Policy &RunPolicy : policies()) {
    if (FLAGS_policy != "usual" && !isListed(FLAGS_policy, RunPolicy.Name))
      continue;
    const auto Scenarios = scenariosOf(RunPolicy);
    for (const Deployment &Size : deployments())
      if (!Scenarios.empty() && isListed(FLAGS_deployment, Size.Name))
        Jobs.push_back(
            std::make_unique<MeshJob>(Size, RunPolicy, Scenarios, Binaries));
  }
  return Jobs;
}

/// Runs every job. One thread starts and destroys the mesh of a job, because a
/// child process is killed when the thread that started it exits.
void runAll(std::vector<std::unique_ptr<MeshJob>> &Jobs, Results &Output) {
  std::atomic<std::size_t> Next{0};
  std::vector<std::future<void>> Threads;
  for (std::uint32_t I = 0; I < FLAGS_at_once; ++I) {
    Threads.push_back(std::async(std::launch::async, [&] {
      for (std::size_t At = Next++; At < Jobs.size(); At = Next++) {
        Jobs[At]->execute(Output);
        Jobs[At].reset();
      }
    }));
  }
  for (auto &Thread : Threads)
    Thread.get();
}

std::string buildFolder() {
  if (!FLAGS_binaries.empty())
    return FLAGS_binaries;
  return std::filesystem::canonical("/proc/self/exe")
      .parent_path()
      .parent_path()
      .string();
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("runs the call scenarios on real processes; exits "
                          "with 1 if the product broke a guarantee");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_keep)
    setenv("KEEP_MESH", "1", 1);
  auto Jobs = selectedJobs(buildFolder());
  if (Jobs.empty()) {
    std::fputs("CallScenarioBench: no deployment, scenario and policy match "
               "the flags\n",
               stderr);
    return 2;
  }
  std::fputs(scenarioTableHead(), stdout);
  Results All;
  runAll(Jobs, All);
  All.writeJson();
  return All.guaranteesHeld() ? 0 : 1;
}
