/// \file
/// Benchmark of distributed rate limiting, in virtual time.
///
/// Runs the \ref TokenNode of every node over a simulated network, for several
/// designs, fleet sizes and faults. Prints Markdown tables of wrongful refusals
/// compared with one ideal token bucket for the same arrivals, overshoot over
/// burst + rate x t, and control traffic. The results depend only on the flags,
/// not on the machine.

#include "RateFigures.h"
#include "RateFleetSizes.h"
#include "policy/TokenNode.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdint>
#include <fmt/format.h>
#include <functional>
#include <gflags/gflags.h>
#include <optional>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "../tests/support/TokenFleet.h"

DEFINE_uint64(seed, 20261204, "random seed of arrivals, delays and faults");
DEFINE_string(sizes, "teiknibas,secretaria,200,1100",
              "fleets: teiknibas (3 x 4 nodes), secretaria (4 domains, 17 "
              "nodes), or a number of nodes, in 5 domains and 2 regions");
DEFINE_string(designs,
              "static,meters,transfers,meters+transfers,kept,"
              "kept-no-wait",
              "designs to compare");
DEFINE_string(scenarios, "", "scenario names, comma-separated; empty for all");
DEFINE_double(per_node, 10, "total rate of all organisations, per node");
DEFINE_double(burst_seconds, 2,
              "burst of an organisation, in seconds of its rate");
DEFINE_double(load, 0.8, "arrivals as a fraction of the rate");
DEFINE_double(
    ask_bytes, 0,
    "limit of a node's ask traffic, in bytes per second; 0 for the default");
DEFINE_int64(flow_term_ms, fescuewood::TokenSettings().RateLeaseTerm.Value,
             "term of a lease that transfers a rate, in milliseconds");
DEFINE_int32(threads, 4, "number of concurrent runs");
DEFINE_bool(organisations, false, "also print one row per organisation");

using namespace fescuewood;
using namespace fescuewood::bench;

namespace {

using Micros = TokenFleet::Micros;

constexpr Micros Ms = 1000;
constexpr Micros Second = 1000 * Ms;
constexpr Micros WarmUp = 20 * Second;
constexpr Micros FaultTime = 30 * Second;
constexpr Micros CutLength = 60 * Second;
constexpr Micros KilledLength = 15 * Second;
constexpr Micros RestartLength = 2 * Second;
constexpr std::uint32_t LargeFleet = 100;

/// One-way delays of the network.
constexpr Micros InDomain = 500;
constexpr Micros AcrossDomains = 1 * Ms;
constexpr Micros AcrossRegions = 15 * Ms;
constexpr Micros Jitter = 300;
constexpr std::uint64_t LossPerMille = 1;

/// Fraction of the total rate by organisation: a few large ones, several small.
constexpr std::array<double, 8> RateShares = {0.30, 0.25, 0.20, 0.10,
                                              0.06, 0.04, 0.03, 0.02};
constexpr double ExcessFactor = 5;
constexpr std::size_t KilledMeters = 2;

/// Slots that share a meter in the designs with few meters.
constexpr std::uint32_t MeterGroup = 16;

std::string organisationName(std::size_t Index) {
  return fmt::format("org-{}", Index);
}

Snapshot snapshotOf(const FleetSize &Size) {
  Snapshot S;
  S.Id.Revision = 1;
  for (const DomainSize &D : Size.Domains)
    S.Domains[D.Name] = {D.Name, D.Region, DomainStatus::In, D.Nodes};
  for (std::size_t I = 0; I < RateShares.size(); ++I) {
    const std::string Name = organisationName(I);
    const double PerSecond = RateShares[I] * FLAGS_per_node * Size.nodes();
    S.Rates[Name] = {Name, PerSecond, PerSecond * FLAGS_burst_seconds};
    S.Organisations[Name] = {Name, Name, 1};
  }
  return S;
}

struct Design {
  std::string Name;
  TokenSettings Settings;
  bool MayWait = true;
};

Design designOf(const std::string &Name) {
  Design D{Name, TokenSettings(), true};
  D.Settings.RateLeaseTerm = DurationMs(FLAGS_flow_term_ms);
  if (FLAGS_ask_bytes > 0) {
    D.Settings.RequestBytesPerSecond = FLAGS_ask_bytes;
    D.Settings.GrantBytesPerSecond = FLAGS_ask_bytes;
    D.Settings.SmallFleetRequestBytesPerSecond = FLAGS_ask_bytes;
  }
  if (Name == "static" || Name == "transfers")
    D.Settings.MinMeterBurst = 0;
  if (Name == "static")
    D.Settings.Leasing = false;
  if (Name == "meters" || Name == "meters+transfers")
    D.Settings.SlotsPerMeter = MeterGroup;
  if (Name == "meters")
    D.Settings.AcrossDomains = false;
  if (Name == "kept-no-wait")
    D.MayWait = false;
  return D;
}

/// One run of a design on a fleet. A \ref Scenario sets its load and faults.
class Run {
public:
  Run(const FleetSize &Size, const Design &RunDesign)
      : Size(Size), RunDesign(RunDesign), Random(FLAGS_seed),
        Source(snapshotOf(Size)), Plan(Source, RunDesign.Settings),
        Fleet(
            RunDesign.Settings,
            [this](std::size_t From, std::size_t To) {
              return delays(From, To);
            },
            (Size.nodes() > LargeFleet ? 200 : 50) * Ms) {
    for (std::size_t D = 0; D < Size.Domains.size(); ++D) {
      for (std::uint32_t S = 0; S < Size.Domains[D].Nodes; ++S) {
        const std::size_t Index = Fleet.addNode({Size.Domains[D].Name, S});
        Fleet.start(Index, Plan);
        DomainOf.push_back(D);
      }
    }
    for (std::size_t I = 0; I < RateShares.size(); ++I) {
      const Rate &R = Source.Rates.at(organisationName(I));
      Fleet.watch(R.Name, R.PerSecond, R.Burst);
      Loads.push_back(R.PerSecond * FLAGS_load);
    }
    Length = (Size.nodes() > LargeFleet ? 20 : 40) * Second;
  }

  void execute() {
    for (std::size_t I = 0; I < Loads.size(); ++I)
      scheduleArrival(I);
    Fleet.at(WarmUp, [this] { startCounting(); });
    Fleet.run(WarmUp + Length);
  }

  // Set by the scenario.
  std::vector<double> Loads;
  std::function<std::size_t()> PickNode = [this] { return anyNode(); };
  Micros Length = 0;

  std::size_t anyNode() { return Random() % Fleet.nodes().size(); }

  std::size_t nodeIn(std::size_t Domain) {
    std::size_t Index = anyNode();
    while (DomainOf[Index] != Domain)
      Index = anyNode();
    return Index;
  }

  /// Kills the first meter of each of the \ref KilledMeters largest
  /// organisations for \ref KilledLength.
  void killMeters() {
    for (std::size_t I = 0; I < KilledMeters; ++I) {
      const SlotId Slot = Plan.Table.meters(organisationName(I))[0].Slot;
      for (std::size_t N = 0; N < Fleet.nodes().size(); ++N)
        if (Fleet.nodes()[N].Slot == Slot)
          restartAfter(N, KilledLength);
    }
  }

  void restartHalf() {
    for (std::size_t N = 0; N < Fleet.nodes().size(); N += 2)
      restartAfter(N, RestartLength);
  }

  void isolateDomain() {
    IsolatedDomain = 0;
    Fleet.at(Fleet.now() + CutLength, [this] { IsolatedDomain.reset(); });
  }

  double controlBytesPerNode() {
    std::uint64_t Bytes = 0;
    for (const auto &N : Fleet.nodes())
      Bytes += N.BytesSent;
    return static_cast<double>(Bytes - BytesBefore) / nodeSeconds();
  }

  /// Bytes per second sent by the node with the most traffic.
  double maxBytesPerNode() {
    std::uint64_t MaxSent = 0;
    for (const auto &N : Fleet.nodes())
      MaxSent = std::max(MaxSent, N.BytesSent);
    return static_cast<double>(MaxSent) /
           (static_cast<double>(Fleet.now()) / 1e6);
  }

  double messagesPerNode() {
    std::uint64_t Messages = 0;
    for (const auto &N : Fleet.nodes())
      Messages += N.MessagesSent;
    return static_cast<double>(Messages - MessagesBefore) / nodeSeconds();
  }

  FleetSize Size;
  Design RunDesign;
  std::mt19937_64 Random;
  Snapshot Source;
  TokenPlan Plan;
  TokenFleet Fleet;

private:
  double nodeSeconds() const {
    return static_cast<double>(Length) / 1e6 * Size.nodes();
  }

  void startCounting() {
    for (const auto &N : Fleet.nodes()) {
      BytesBefore += N.BytesSent;
      MessagesBefore += N.MessagesSent;
    }
  }

  void restartAfter(std::size_t Index, Micros Down) {
    if (!Fleet.nodes()[Index].Alive)
      return;
    Fleet.kill(Index);
    Fleet.at(Fleet.now() + Down, [this, Index] { Fleet.start(Index, Plan); });
  }

  void scheduleArrival(std::size_t Organisation) {
    std::exponential_distribution<double> Gap(Loads[Organisation]);
    const auto Next = Fleet.now() + static_cast<Micros>(Gap(Random) * 1e6) + 1;
    Fleet.at(Next, [this, Organisation] {
      std::size_t Node = PickNode();
      // Callers of a stopped instance retry at another one.
      while (!Fleet.nodes()[Node].Alive)
        Node = anyNode();
      Fleet.arrive(Node, organisationName(Organisation), RunDesign.MayWait,
                   Fleet.now() >= WarmUp);
      scheduleArrival(Organisation);
    });
  }

  std::vector<Micros> delays(std::size_t From, std::size_t To) {
    const std::size_t A = DomainOf[From];
    const std::size_t B = DomainOf[To];
    if (IsolatedDomain && A != B &&
        (A == *IsolatedDomain || B == *IsolatedDomain))
      return {};
    if (Random() % 1000 < LossPerMille)
      return {};
    Micros Delay = InDomain;
    if (Size.Domains[A].Region != Size.Domains[B].Region)
      Delay = AcrossRegions;
    else if (A != B)
      Delay = AcrossDomains;
    return {Delay + static_cast<Micros>(Random() % Jitter)};
  }

  std::vector<std::size_t> DomainOf;
  std::optional<std::size_t> IsolatedDomain;
  std::uint64_t BytesBefore = 0;
  std::uint64_t MessagesBefore = 0;
};

struct Scenario {
  std::string Name;
  std::function<void(Run &)> Configure;
};

std::vector<Scenario> allScenarios() {
  return {
      {"even", [](Run &) {}},
      {"one node", [](Run &R) { R.PickNode = [] { return std::size_t{1}; }; }},
      {"one domain", [](Run &R) { R.PickNode = [&R] { return R.nodeIn(0); }; }},
      {"five times", [](Run &R) { R.Loads[0] *= ExcessFactor / FLAGS_load; }},
      {"meters killed",
       [](Run &R) { R.Fleet.at(FaultTime, [&R] { R.killMeters(); }); }},
      {"domain cut off",
       [](Run &R) {
         R.Length = CutLength + 20 * Second;
         R.Fleet.at(FaultTime, [&R] { R.isolateDomain(); });
       }},
      {"half restarted",
       [](Run &R) { R.Fleet.at(FaultTime, [&R] { R.restartHalf(); }); }},
  };
}

Figures measure(const FleetSize &Size, const Design &D, const Scenario &S) {
  Run R(Size, D);
  S.Configure(R);
  R.execute();
  Figures F;
  for (const auto &[Name, Record] : R.Fleet.records()) {
    F.add(Record);
    F.Rows.push_back(fmt::format(
        "| {} | {} | {} | {} | {} | {:.3f} | {:.3f} | {:.6f} |", Size.Name,
        S.Name, D.Name, Name, Record.Arrived,
        percent(Record.WrongRefusals, Record.Arrived),
        shortfall(Record.IdealAdmitted, Record.Admitted, Record.Arrived),
        Record.Admissions.overshoot()));
  }
  F.Bytes = R.controlBytesPerNode();
  F.MaxBytes = R.maxBytesPerNode();
  F.Messages = R.messagesPerNode();
  return F;
}

std::vector<std::string> split(const std::string &Text) {
  std::vector<std::string> Result;
  std::size_t Begin = 0;
  while (Begin <= Text.size() && !Text.empty()) {
    const std::size_t End = std::min(Text.find(',', Begin), Text.size());
    Result.push_back(Text.substr(Begin, End - Begin));
    Begin = End + 1;
  }
  return Result;
}

struct Job {
  FleetSize Size;
  Design RunDesign;
  Scenario RunScenario;
  Figures Result;
};

void runAll(std::vector<Job> &Jobs) {
  std::atomic<std::size_t> Next{0};
  std::vector<std::thread> Threads;
  Threads.reserve(static_cast<std::size_t>(FLAGS_threads));
  for (int T = 0; T < FLAGS_threads; ++T) {
    Threads.emplace_back([&] {
      // Starts with the largest fleets, which are last in the list.
      for (std::size_t I = Next++; I < Jobs.size(); I = Next++) {
        Job &J = Jobs[Jobs.size() - 1 - I];
        J.Result = measure(J.Size, J.RunDesign, J.RunScenario);
      }
    });
  }
  for (std::thread &T : Threads)
    T.join();
}

void print(const std::vector<Job> &Jobs) {
  fmt::print("| fleet | scenario | design | requests | refused wrongly % | "
             "shortfall % | waited % | mean wait ms | overshoot tokens | "
             "bytes/s per node | busiest node | messages/s per node |\n");
  fmt::print("|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const Job &J : Jobs) {
    const Figures &F = J.Result;
    const double Wait = F.Waited == 0
                            ? 0
                            : static_cast<double>(F.WaitedMicros) / 1000.0 /
                                  static_cast<double>(F.Waited);
    fmt::print("| {} | {} | {} | {} | {:.3f} | {:.3f} | {:.2f} | {:.2f} | "
               "{:.6f} | {:.0f} | {:.0f} | {:.2f} |\n",
               J.Size.Name, J.RunScenario.Name, J.RunDesign.Name, F.Arrived,
               percent(F.WrongRefusals, F.Arrived),
               shortfall(F.IdealAdmitted, F.Admitted, F.Arrived),
               percent(F.Waited, F.Arrived), Wait, F.Overshoot, F.Bytes,
               F.MaxBytes, F.Messages);
  }
}

void printTotals(const std::vector<Job> &Jobs) {
  fmt::print(
      "\nOver all scenarios and fleets:\n\n| design | requests | refused "
      "wrongly % | shortfall % | most overshoot |\n|---|---|---|---|---|"
      "\n");
  for (const std::string &Name : split(FLAGS_designs)) {
    Figures Sum;
    double Missing = 0;
    for (const Job &J : Jobs) {
      if (J.RunDesign.Name != Name)
        continue;
      Sum.Arrived += J.Result.Arrived;
      Sum.WrongRefusals += J.Result.WrongRefusals;
      Missing += shortfall(J.Result.IdealAdmitted, J.Result.Admitted, 100);
      Sum.Overshoot = std::max(Sum.Overshoot, J.Result.Overshoot);
    }
    fmt::print("| {} | {} | {:.3f} | {:.3f} | {:.6f} |\n", Name, Sum.Arrived,
               percent(Sum.WrongRefusals, Sum.Arrived),
               100 * Missing / static_cast<double>(Sum.Arrived), Sum.Overshoot);
  }
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::SetUsageMessage(
      "measures wrongful refusals by distributed rate limiting");
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  const std::vector<std::string> Selected = split(FLAGS_scenarios);
  std::vector<Job> Jobs;
  for (const std::string &Size : split(FLAGS_sizes)) {
    for (const Scenario &S : allScenarios()) {
      if (!Selected.empty() &&
          std::find(Selected.begin(), Selected.end(), S.Name) == Selected.end())
        continue;
      for (const std::string &Name : split(FLAGS_designs))
        Jobs.push_back({sizeOf(Size), designOf(Name), S, {}});
    }
  }
  runAll(Jobs);
  print(Jobs);
  printTotals(Jobs);
  if (FLAGS_organisations) {
    fmt::print("\n| fleet | scenario | design | organisation | requests | "
               "refused wrongly % | shortfall % | overshoot |\n"
               "|---|---|---|---|---|---|---|---|\n");
    for (const Job &J : Jobs)
      for (const std::string &Row : J.Result.Rows)
        fmt::print("{}\n", Row);
  }
  return 0;
}
