/// \file
/// Benchmark of call policies in virtual time, at the sizes of two deployments.
///
/// Every node runs the product's CallCore; the network and the targets are
/// models (bench/model). Prints a Markdown table of scenarios and policies. The
/// results depend only on the flags, not on the machine or on real time.

#include "model/FakeCallMesh.h"

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

DEFINE_uint64(seed, 1, "random seed of arrivals, service times and faults");
DEFINE_string(deployment, "both", "stalls (3 domains), agreste (4) or both");
DEFINE_string(scenario, "all", "name of one scenario, or all");
DEFINE_string(policy, "all", "name of one policy, or all");
DEFINE_double(load, 0.6, "fraction of all slots in use without a fault");
DEFINE_double(service_ms, 40, "mean service time at a warm target");
DEFINE_uint32(seconds, 32,
              "duration of arrivals in each run, in virtual seconds");
DEFINE_uint32(threads, 8, "number of concurrent runs");
DEFINE_int64(cold_ms, 6000, "warm-up time of a restarted target");
DEFINE_int64(warm_ms, 0, "WarmTime of the call settings; 0 for the default");
DEFINE_bool(codes, false, "also print failed calls by result code");

using namespace fescuewood;

namespace {

constexpr std::int64_t SecondUs = 1'000'000;

/// Start and end of the fault, counted from the first arrival. Calls sent
/// before the start are not measured, because the targets are still warming up.
constexpr std::int64_t FaultStartUs = 10 * SecondUs;
constexpr std::int64_t FaultEndUs = 20 * SecondUs;

/// Time before the first arrival, in which the targets start.
constexpr std::int64_t WarmUpUs = 5 * SecondUs;

/// Maximum time to wait for outstanding answers after the last arrival.
constexpr int MaxDrainSeconds = 90;

struct ServiceSize {
  std::string Name;
  std::size_t Targets;
};

struct Deployment {
  std::string Name;
  std::vector<std::string> Domains;
  std::vector<ServiceSize> Services;
  std::uint32_t Slots;
  std::int64_t DelayUs; ///< One-way network delay between domains.
};

const std::vector<Deployment> Deployments = {
    {"stalls",
     {"harbour", "market", "pier"},
     {{"queue", 3}, {"till", 3}, {"gallery", 3}, {"ledger", 3}},
     6,
     500},
    {"agreste",
     {"caruaru", "garanhuns", "arcoverde", "recife"},
     {{"catalogue", 5}, {"order", 4}, {"contract", 4}, {"archive", 4}},
     9,
     750},
};

/// Fraction of arrivals by organisation, also used as weight; a few are large.
const std::vector<double> Shares = {0.30, 0.25, 0.15, 0.10,
                                    0.05, 0.05, 0.05, 0.05};

/// Organisation that sends five times its share in scenario "5x org".
constexpr std::size_t NoisyOrganisation = 2;

const std::vector<std::string> Scenarios = {
    "rest",   "domain out and back", "half restarted", "half cold",
    "5x org", "silent links",        "paused 10 s",    "crashing request",
    "loss 2%"};

struct Policy {
  std::string Name;
  CallSettings Settings;
};

std::vector<Policy> policies() {
  std::vector<Policy> All(6);
  All[0].Name = "product";
  All[1].Name = "random target";
  All[1].Settings.Routing = RoutingMode::Random;
  All[2].Name = "limit = slots";
  All[2].Settings.Admission = AdmissionMode::Slots;
  All[3].Name = "no admission";
  All[3].Settings.Admission = AdmissionMode::Off;
  All[4].Name = "plain retry";
  All[4].Settings.Retry = RetryMode::Plain;
  All[5].Name = "none of the three";
  All[5].Settings.Routing = RoutingMode::Random;
  All[5].Settings.Admission = AdmissionMode::Off;
  All[5].Settings.Retry = RetryMode::Plain;
  for (Policy &Candidate : All)
    if (FLAGS_warm_ms > 0)
      Candidate.Settings.WarmTime = DurationMs(FLAGS_warm_ms);
  return All;
}

std::string organisationName(std::size_t At) {
  return fmt::format("org-{}", At + 1);
}

/// Time within which an answer is useful, by route.
DurationMs limitOf(const std::string &Route) {
  return DurationMs(Route == "read" ? 1000 : 2000);
}

Snapshot configOf(const Deployment &Size, const std::string &DomainOut) {
  Snapshot Config;
  for (const ServiceSize &Service : Size.Services)
    Config.Services[Service.Name] = {Service.Name, Size.Slots};
  for (const std::string &Name : Size.Domains)
    Config.Domains[Name] = {
        Name, "one", Name == DomainOut ? DomainStatus::Out : DomainStatus::In,
        16};
  for (std::size_t I = 0; I < Shares.size(); ++I)
    Config.Organisations[organisationName(I)] = {
        organisationName(I), "", static_cast<std::uint32_t>(Shares[I] * 100)};
  return Config;
}

/// One run of a scenario under a policy.
class Run {
public:
  Run(const Deployment &Size, const Policy &RunPolicy, std::string Scenario)
      : Size(Size), Scenario(std::move(Scenario)), Random(FLAGS_seed),
        Mesh(FLAGS_seed, RunPolicy.Settings, network()) {
    FakeTargetOptions Target;
    Target.Slots = Size.Slots;
    Target.MeanMs = FLAGS_service_ms;
    Target.ColdUs = FLAGS_cold_ms * 1000;
    std::size_t Shift = 0;
    for (const ServiceSize &Service : Size.Services) {
      for (std::size_t I = 0; I < Service.Targets; ++I) {
        Mesh.addNode(fmt::format("{}-{}", Service.Name, I),
                     Size.Domains.at((I + Shift) % Size.Domains.size()),
                     Service.Name, Target);
        Services.push_back(Service.Name);
      }
      ++Shift;
    }
  }

  void execute() {
    configure({});
    Mesh.publishInstances();
    Mesh.runFor(WarmUpUs);
    const std::int64_t Start = Mesh.Time.nowUs();
    MeasuredFromUs = Start + FaultStartUs;
    const std::int64_t End = Start + FLAGS_seconds * SecondUs;
    Mesh.Time.after(FaultStartUs, [this] { beginFault(); });
    Mesh.Time.after(FaultEndUs, [this] { endFault(); });
    scheduleInstanceUpdate();
    while (Mesh.Time.nowUs() < End) {
      arrive();
      std::exponential_distribution<double> Gap(arrivalsPerSecond());
      Mesh.runFor(static_cast<std::int64_t>(Gap(Random) * SecondUs));
    }
    for (int I = 0; I < MaxDrainSeconds && !allAnswered(); ++I)
      Mesh.runFor(SecondUs);
  }

  std::string row(const std::string &PolicyName) const {
    std::vector<double> Latencies;
    std::size_t InTime = 0;
    std::size_t SentCalls = 0;
    int RanTwice = 0;
    int FalseNotRun = 0;
    std::vector<std::size_t> InTimeByOrganisation(Shares.size());
    std::vector<std::size_t> SentByOrganisation(Shares.size());
    for (const FakeCall &Call : Mesh.Calls) {
      const int Runs = Mesh.runsOf(Call.Tag);
      if (Call.Tag != CrashBody) {
        RanTwice += !Call.Idempotent && Runs > 1 ? 1 : 0;
        FalseNotRun +=
            Call.Answer.RequestOutcome == Outcome::NotRun && Runs > 0 ? 1 : 0;
      }
      const std::size_t Org = Call.Organisation.back() - '1';
      if (Call.Tag == CrashBody || Call.SentUs < MeasuredFromUs)
        continue;
      const double Ms =
          static_cast<double>(Call.AnsweredUs - Call.SentUs) / 1e3;
      const bool AnsweredInTime =
          Call.Answers == 1 && Call.Answer.Status == 200 &&
          (Call.Route == "wait" ||
           Ms <= static_cast<double>(limitOf(Call.Route).Value));
      ++SentByOrganisation[Org];
      InTimeByOrganisation[Org] += AnsweredInTime ? 1 : 0;
      if (Scenario == "5x org" && Org == NoisyOrganisation)
        continue;
      ++SentCalls;
      InTime += AnsweredInTime ? 1 : 0;
      if (AnsweredInTime && Call.Route != "wait")
        Latencies.push_back(Ms);
    }
    double Worst = 1;
    for (std::size_t I = 0; I < Shares.size(); ++I) {
      if (SentByOrganisation[I] > 0 &&
          !(Scenario == "5x org" && I == NoisyOrganisation))
        Worst = std::min(Worst, static_cast<double>(InTimeByOrganisation[I]) /
                                    static_cast<double>(SentByOrganisation[I]));
    }
    int Crashes = 0;
    for (const auto &Node : Mesh.Nodes)
      Crashes += Node->Target->Crashes;
    std::sort(Latencies.begin(), Latencies.end());
    return fmt::format(
        "| {} | {} | {} | {:.2f} | {:.2f} | {:.0f} | {:.0f} | {} | {} | {} |",
        Size.Name, Scenario, PolicyName,
        100.0 * static_cast<double>(InTime) / static_cast<double>(SentCalls),
        100.0 * Worst, percentile(Latencies, 0.5), percentile(Latencies, 0.99),
        RanTwice, FalseNotRun, Crashes);
  }

  std::string codes() const {
    std::map<std::string, int> Counts;
    for (const FakeCall &Call : Mesh.Calls) {
      if (Call.SentUs < MeasuredFromUs)
        continue;
      if (Call.Answer.Status != 200)
        ++Counts[fmt::format("{} {} {}", Call.Route, Call.Answer.Status,
                             resultName(Call.Answer.Reason))];
      else if (Call.Route != "wait" &&
               Call.AnsweredUs - Call.SentUs > limitOf(Call.Route).Value * 1000)
        ++Counts[Call.Route + " late"];
    }
    std::ostringstream Text;
    for (const auto &[Name, Count] : Counts)
      Text << "  " << Name << ": " << Count << "\n";
    return Text.str();
  }

private:
  bool allAnswered() const {
    return std::all_of(Mesh.Calls.begin(), Mesh.Calls.end(),
                       [](const FakeCall &Call) { return Call.Answers > 0; });
  }

  FakeNetworkOptions network() const {
    FakeNetworkOptions Network;
    Network.DelayUs = Size.DelayUs;
    Network.Loss = Scenario == "loss 2%" ? 0.02 : 0;
    return Network;
  }

  static double percentile(const std::vector<double> &Sorted, double Share) {
    if (Sorted.empty())
      return 0;
    const auto Last = static_cast<double>(Sorted.size() - 1);
    return Sorted.at(static_cast<std::size_t>(Share * Last));
  }

  void configure(const std::string &DomainOut) {
    Mesh.setSnapshot(
        std::make_shared<const Snapshot>(configOf(Size, DomainOut)));
  }

  /// Publishes target states to every node twice per second, like membership.
  void scheduleInstanceUpdate() {
    Mesh.Time.after(SecondUs / 2, [this] {
      Mesh.publishInstances();
      scheduleInstanceUpdate();
    });
  }

  /// Current arrivals per second over all services.
  double arrivalsPerSecond() const {
    const double Slots = static_cast<double>(Services.size()) * Size.Slots;
    // In scenario "5x org" the base load is high enough that the excess calls
    // exceed the capacity of the targets.
    const double Load =
        Scenario == "5x org" ? std::max(FLAGS_load, 0.8) : FLAGS_load;
    const double AtRest = Load * Slots * 1000 / FLAGS_service_ms;
    return NoisyLoadActive ? AtRest * (1 + 4 * Shares[NoisyOrganisation])
                           : AtRest;
  }

  std::size_t drawOrganisation() {
    std::vector<double> Weights = Shares;
    if (NoisyLoadActive)
      Weights[NoisyOrganisation] *= 5;
    std::discrete_distribution<std::size_t> Draw(Weights.begin(),
                                                 Weights.end());
    return Draw(Random);
  }

  void arrive() {
    CallRequest Request;
    Request.Body = fmt::format("tag{}", Mesh.Calls.size());
    Request.Organisation = organisationName(drawOrganisation());
    // Services has one entry per node, so each service is drawn in proportion
    // to its number of targets.
    Request.Service = Services.at(Random() % Services.size());
    const auto Kind = Random() % 10;
    Request.Idempotent = Kind != 0 && Kind != 1;
    Request.CanWait = Kind == 9;
    Request.Route = Request.CanWait      ? "wait"
                    : Request.Idempotent ? "read"
                                         : "write";
    Request.Remaining = limitOf(Request.Route);
    if (CrashLoadActive && Random() % 200 == 0) {
      Request.Body = CrashBody;
      Request.Organisation = organisationName(0);
      Request.Service = Services.front();
      Request.Idempotent = true;
      Request.Route = "read";
    }
    Mesh.submit(entryNode(), std::move(Request));
  }

  /// Draws a node that is not paused: callers stop using a node once their
  /// connections to it time out.
  std::size_t entryNode() {
    while (true) {
      const std::size_t At = Random() % Mesh.Nodes.size();
      if (Mesh.Nodes[At]->PausedUntilUs <= Mesh.Time.nowUs())
        return At;
    }
  }

  void beginFault() {
    NoisyLoadActive = Scenario == "5x org";
    CrashLoadActive = Scenario == "crashing request";
    if (Scenario == "domain out and back")
      configure(Size.Domains.back());
    for (std::size_t I = 0; I < Mesh.Nodes.size(); ++I) {
      if (Scenario == "half restarted" && I % 2 == 0)
        Mesh.Nodes[I]->Target->crash();
      if (Scenario == "half cold" && I % 2 == 0)
        Mesh.Nodes[I]->Target->makeCold();
      if (Scenario == "paused 10 s" && I % 6 == 0)
        Mesh.pauseNode(I, 10 * SecondUs);
      if (Scenario == "silent links")
        for (std::size_t J = 0; J < Mesh.Nodes.size(); ++J)
          if (Random() % 2 == 0)
            Mesh.silenceConnection(I, J);
    }
  }

  void endFault() {
    NoisyLoadActive = false;
    CrashLoadActive = false;
    if (Scenario != "domain out and back")
      return;
    // A domain returns with freshly started, cold targets.
    for (const auto &Node : Mesh.Nodes)
      if (Node->Place.Domain == Size.Domains.back())
        Node->Target->makeCold();
    configure({});
  }

  const Deployment &Size;
  std::string Scenario;
  std::mt19937_64 Random;
  FakeCallMesh Mesh;
  std::vector<std::string> Services; ///< One entry per node.
  std::int64_t MeasuredFromUs = 0;
  bool NoisyLoadActive = false;
  bool CrashLoadActive = false;
};

/// One row of the table.
struct Task {
  const Deployment *Size;
  const Policy *RunPolicy;
  std::string Scenario;
  std::string Text;
};

/// Runs every task. Tasks are independent, so the number of threads does not
/// affect the results.
void runAll(std::vector<Task> &Tasks) {
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Threads;
  for (std::uint32_t I = 0; I < FLAGS_threads; ++I) {
    Threads.emplace_back([&Tasks, &Next] {
      for (std::size_t At = Next++; At < Tasks.size(); At = Next++) {
        Task &Row = Tasks[At];
        Run CurrentRun(*Row.Size, *Row.RunPolicy, Row.Scenario);
        CurrentRun.execute();
        Row.Text = CurrentRun.row(Row.RunPolicy->Name);
        if (FLAGS_codes)
          Row.Text += "\n" + CurrentRun.codes();
      }
    });
  }
  for (std::thread &Worker : Threads)
    Worker.join();
}

bool isSelected(const std::string &Flag, const std::string &Name) {
  return Flag == "all" || Flag == "both" || Flag == Name;
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage("compares call policies in virtual time");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  std::puts("| Deployment | Scenario | Policy | In time % | Worst-served "
            "organisation % | p50 ms | p99 ms | Ran twice | Untrue \"not "
            "run\" | Target crashes |");
  std::puts("|---|---|---|---|---|---|---|---|---|---|");
  const std::vector<Policy> Policies = policies();
  std::vector<Task> Tasks;
  for (const Deployment &Size : Deployments) {
    for (const std::string &Scenario : Scenarios) {
      for (const Policy &RunPolicy : Policies) {
        if (isSelected(FLAGS_deployment, Size.Name) &&
            isSelected(FLAGS_scenario, Scenario) &&
            isSelected(FLAGS_policy, RunPolicy.Name))
          Tasks.push_back({&Size, &RunPolicy, Scenario, {}});
      }
    }
  }
  runAll(Tasks);
  for (const Task &Row : Tasks)
    std::puts(Row.Text.c_str());
  return 0;
}
