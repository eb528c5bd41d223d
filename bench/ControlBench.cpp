/// \file
/// Benchmark of configuration distribution to real node processes on loopback.
///
/// Measures the time until a version is in force, control traffic, reads of the
/// source, processor time and memory.
///
///   ControlBench --nodes=12,50,100          exchange between nodes
///   ControlBench --nodes=100 --baseline     every node polls the source
///
/// Prints Markdown tables. One size takes about 70 s.

#include "ControlBenchFleet.h"
#include "ControlBenchNode.h"

#include <algorithm>
#include <cmath>
#include <filesystem>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(nodes, "100", "fleet sizes, comma-separated; one run each");
DEFINE_string(scenario, "all",
              "all, or a list of rest,changes,outage,cut,restart");
DEFINE_bool(baseline, false, "baseline: every node polls the source");
DEFINE_int32(domains, 5, "failure domains");
DEFINE_int32(rest_seconds, 10, "duration of the rest scenario");
DEFINE_int32(changes, 8, "versions published in the changes scenario");
DEFINE_bool(node, false, "run as a node process; set by the benchmark itself");
DEFINE_int32(index, 0, "index of the node process");
DEFINE_string(source, "", "address of the platform for the node process");
DEFINE_int32(port, 0, "port of the node process");

using namespace fescuewood;
using namespace fescuewood::bench;

namespace {

constexpr int AwaitTimeoutMs = 30 * 1000;
constexpr int ChangePauseMs = 1500;
constexpr double SecondsPerDay = 86400;
constexpr double ChangesPerDay = 2100;

std::int64_t percentile(std::vector<std::int64_t> Values, double Share) {
  if (Values.empty())
    return -1;
  std::sort(Values.begin(), Values.end());
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Share * static_cast<double>(Values.size())));
  return Values[std::max<std::size_t>(Rank, 1) - 1];
}

/// One run with a fixed number of nodes.
class Run {
public:
  Run(std::size_t Count, std::string ProgramPath)
      : Count(Count), ProgramPath(std::move(ProgramPath)),
        Source(platformProgram(), static_cast<std::size_t>(FLAGS_domains),
               Count),
        Nodes(Count, [this](std::size_t I) { return command(I); }) {}

  void execute() {
    row("start", [this] { start(); });
    if (isSelected("rest"))
      row("rest", [this] { rest(); });
    if (isSelected("changes"))
      row("changes", [this] { changes(); });
    if (isSelected("outage"))
      row("outage", [this] { outage(); });
    if (isSelected("cut") && !FLAGS_baseline)
      row("cut", [this] { cut(); });
    if (isSelected("restart"))
      row("restart", [this] { restart(); });
  }

private:
  std::string platformProgram() const {
    return (std::filesystem::path(ProgramPath).parent_path().parent_path() /
            "standins" / "Platform")
        .string();
  }

  std::vector<std::string> command(std::size_t Index) const {
    return {ProgramPath, "--node", fmt::format("--index={}", Index),
            fmt::format("--domains={}", FLAGS_domains),
            // Concurrent runs need distinct ports.
            fmt::format("--port={}", 10000 + getpid() % 20000),
            "--source=" + Source.address(),
            FLAGS_baseline ? "--baseline" : "--nobaseline"};
  }

  static bool isSelected(const std::string &Scenario) {
    return FLAGS_scenario == "all" ||
           FLAGS_scenario.find(Scenario) != std::string::npos;
  }

  /// Runs a scenario and prints its row.
  template <typename Scenario>
  void row(const std::string &Name, const Scenario &Body) {
    Delays.clear();
    NotReached = 0;
    Source.takeReadCounts();
    const bool CountersReset = Name == "start" || Name == "restart";
    const std::uint64_t BytesBefore = CountersReset ? 0 : Nodes.bytes();
    const std::uint64_t ConnectionsBefore =
        CountersReset ? 0 : Nodes.connections();
    const double CpuSecondsBefore =
        CountersReset ? 0 : Nodes.usage().CpuSeconds;
    const TimeMs StartTime = Time.now();
    Body();
    // Nodes report their byte counts once per second.
    Nodes.processReports(1000);
    const double Seconds =
        static_cast<double>((Time.now() - StartTime).Value) / 1000;
    const Usage Used = Nodes.usage();
    const auto [Reads, Peak] = Source.takeReadCounts();
    const double PerNode = static_cast<double>(Count) * Seconds;
    const double Connections = static_cast<double>(
        (Nodes.connections() - ConnectionsBefore) * ConnectionBytes);
    const double Rate =
        (static_cast<double>(Nodes.bytes() - BytesBefore) + Connections) /
        PerNode;
    if (Name == "rest")
      RestRate = Rate;
    fmt::print("| {} | {} | {} | {} | {} | {} | {:.0f} | {:.1f} | {} | {:.2f} "
               "| {:.1f} | {:.1f} |\n",
               Count, Name, percentile(Delays, 0.5), percentile(Delays, 0.99),
               percentile(Delays, 1), NotReached, Rate,
               static_cast<double>(Reads) / Seconds, Peak,
               (Used.CpuSeconds - CpuSecondsBefore) / PerNode * 100,
               Used.ResidentMb, Used.PrivateMb);
    if (Name == "changes" && RestRate > 0) {
      const double BytesPerChange = (Rate - RestRate) * Seconds / FLAGS_changes;
      fmt::print(
          "| {} | a change costs a node {:.0f} B; at {:.0f} a day and at "
          "rest together {:.0f} B/s ||||||||||\n",
          Count, BytesPerChange, ChangesPerDay,
          RestRate + BytesPerChange * ChangesPerDay / SecondsPerDay);
    }
    std::fflush(stdout);
  }

  void await(std::uint64_t Revision, TimeMs Since) {
    Nodes.awaitRevision(Revision, AwaitTimeoutMs);
    const auto NodeDelays = Nodes.delays(Revision, Since);
    NotReached += Count - NodeDelays.size();
    Delays.insert(Delays.end(), NodeDelays.begin(), NodeDelays.end());
  }

  void start() {
    const TimeMs Since = Time.now();
    Nodes.startAll();
    await(Source.revision(), Since);
    Nodes.processReports(5000);
  }

  void rest() { Nodes.processReports(FLAGS_rest_seconds * 1000); }

  void changes() {
    for (int I = 0; I < FLAGS_changes; ++I) {
      const TimeMs Since = Time.now();
      await(Source.publish(), Since);
      Nodes.processReports(ChangePauseMs);
    }
  }

  /// Delays are measured from the end of the outage.
  void outage() {
    Source.control("out=1");
    Nodes.processReports(4000);
    const std::uint64_t Revision = Source.publish();
    Nodes.processReports(2000);
    const TimeMs Since = Time.now();
    Source.control("out=0");
    await(Revision, Since);
  }

  /// Delays are measured from the end of the partition. Only the isolated
  /// domain lacks the version, and it has to get it from the other domains
  /// because its connection to the platform is restored later.
  void cut() {
    Nodes.sendToAll("cut 1");
    Nodes.processReports(12000);
    const std::uint64_t Revision = Source.publish();
    Nodes.processReports(4000);
    const TimeMs Since = Time.now();
    Nodes.sendToAll("heal");
    Nodes.awaitRevision(Revision, AwaitTimeoutMs);
    for (std::int64_t Delay : Nodes.delays(Revision, Since))
      if (Delay > 0)
        Delays.push_back(Delay);
    NotReached += Count - Nodes.delays(Revision, Since).size();
    Nodes.processReports(5000);
    Nodes.sendToAll("source");
  }

  void restart() {
    Nodes.killAll();
    const TimeMs Since = Time.now();
    Nodes.startAll();
    await(Source.revision(), Since);
    Nodes.processReports(5000);
  }

  const std::size_t Count;
  const std::string ProgramPath;
  const Clock Time = Clock::monotonic();
  PlatformStandIn Source;
  Fleet Nodes;
  std::vector<std::int64_t> Delays;
  std::size_t NotReached = 0;
  double RestRate = 0;
};

void measure(const std::string &ProgramPath) {
  fmt::print("| Nodes | Scenario | p50 ms | p99 ms | max ms | not reached | "
             "B/s per node | source reads/s | peak reads in 1 s | CPU % of a "
             "core per node | max RSS MB | max private MB |\n"
             "|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  std::istringstream Sizes(FLAGS_nodes);
  std::string Size;
  while (std::getline(Sizes, Size, ','))
    Run(std::strtoul(Size.c_str(), nullptr, 10), ProgramPath).execute();
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  if (FLAGS_node) {
    NodeOptions Options;
    Options.Index = static_cast<std::size_t>(FLAGS_index);
    Options.Domains = static_cast<std::size_t>(FLAGS_domains);
    Options.Port = FLAGS_port;
    Options.Source = FLAGS_source;
    Options.PollSource = FLAGS_baseline;
    BenchNode Node(Options);
    return Node.run();
  }
  std::signal(SIGPIPE, SIG_IGN);
  measure(std::filesystem::read_symlink("/proc/self/exe").string());
  return EXIT_SUCCESS;
}
