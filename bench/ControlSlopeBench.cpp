/// \file
/// Benchmark of how control plane cost scales with the number of nodes.
///
/// Runs many control cores over an in-memory network in virtual time, which
/// allows more nodes than one machine can run as processes. At up to 1,100
/// nodes it measures bytes per second and node at rest and per change, the
/// traffic of a simultaneous restart of all nodes and of a failure domain that
/// is isolated and reconnected, the time until a version is in force on all
/// nodes, and the processor time per node. Message sizes are those of the
/// bodies plus the envelope, framing, TCP and IP overhead of the transport.
///
///   ControlSlopeBench --nodes=100,300,1100

#include "nodes/ControlMessages.h"
#include "nodes/FakeFleet.h"
#include "nodes/PeerEnvelope.h"
#include "nodes/PeerTraffic.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <sstream>
#include <string>

#include <fmt/format.h>
#include <gflags/gflags.h>

DEFINE_string(nodes, "100,300,1100",
              "fleet sizes, comma-separated; one run each");
DEFINE_int32(rest_seconds, 30,
             "duration of the rest phase, in virtual seconds");
DEFINE_int32(changes, 5, "versions published in the changes phase");

using namespace fescuewood;

namespace {

constexpr std::size_t Domains = 5;
constexpr int FirstPhaseMs = 10 * 1000;
constexpr int MinuteMs = 60 * 1000;
constexpr int SettleMs = 10 * 1000;
constexpr int ChangePeriodMs = 8 * 1000;
constexpr int CutMs = 60 * 1000;
constexpr int HealMs = 60 * 1000;
constexpr double SecondsPerDay = 86400;
constexpr double ChangesPerDay = 2100;

/// Bytes on the wire per message in addition to its body.
double overheadPerMessage() {
  const std::string Name = "domain-0/node-100";
  const std::string Sealed = sealEnvelope({PeerKind::Exchange,
                                           PeerPhase::Request,
                                           {Name, 1790000000000ULL << 20},
                                           {1790000000000, 1},
                                           {}},
                                          "secret");
  return static_cast<double>(wireBytes(Sealed.size()));
}

/// Bytes of message bodies by their content.
struct BodyParts {
  double Exchanges = 0; ///< Without the forwarded records.
  double Rumours = 0;
  double RepairRequests = 0;
  double RepairReplies = 0;
  double Fetches = 0;

  void add(const PeerRequest &Request, std::string_view Reply) {
    const auto DecodedRequest = unpackExchangeRequest(Request.Body);
    const auto TotalBytes =
        static_cast<double>(Request.Body.size() + Reply.size());
    if (Request.Kind == PeerKind::Fetch || !DecodedRequest) {
      Fetches += TotalBytes;
    } else if (DecodedRequest->Repair) {
      RepairRequests += static_cast<double>(Request.Body.size());
      RepairReplies += static_cast<double>(Reply.size());
    } else {
      const double ForwardedBytes = rumourBytes(DecodedRequest->Exchange) +
                                    rumourBytes(unpackExchange(Reply));
      Rumours += ForwardedBytes;
      Exchanges += TotalBytes - ForwardedBytes;
    }
  }

private:
  static double rumourBytes(std::optional<ExchangeMessage> Message) {
    if (!Message)
      return 0;
    const auto FullBytes = static_cast<double>(packExchange(*Message).size());
    Message->Rumours.clear();
    return FullBytes - static_cast<double>(packExchange(*Message).size());
  }
};

/// One run of a fleet. Traffic is counted at the sender and at the receiver.
class Run {
public:
  explicit Run(std::size_t Count)
      : Fleet(Domains, Count / Domains, 20261204), Count(Fleet.Nodes.size()) {
    Fleet.OnServed = [this](const PeerRequest &Request,
                            std::string_view Reply) {
      Parts.add(Request, Reply);
    };
  }

  void execute() {
    const Version First = Fleet.publish();
    runFirstMinute("start", [this, First] {
      MaxDelayMs = Fleet.runUntilInForce(First, FirstPhaseMs);
      Fleet.run(FirstPhaseMs - std::max(MaxDelayMs, 0));
    });
    Fleet.run(SettleMs);
    const double Rest = runPhase("rest", FLAGS_rest_seconds * 1000, [this] {
      Fleet.run(FLAGS_rest_seconds * 1000);
    });
    const int ChangesMs = FLAGS_changes * ChangePeriodMs;
    const double ChangeRate =
        runPhase("changes", ChangesMs, [this] { changes(); });
    runPhase("cut of one domain", CutMs, [this] { cut(); });
    runPhase("heal", HealMs, [this] { heal(); });
    runFirstMinute("herd restart", [this] { restart(); });
    const double BytesPerChange = (ChangeRate - Rest) * ChangePeriodMs / 1000;
    fmt::print("| {} | {:.0f} changes a day | {:.0f} | | | | | | | | a change "
               "costs a node {:.0f} B |\n",
               Count, ChangesPerDay,
               Rest + BytesPerChange * ChangesPerDay / SecondsPerDay,
               BytesPerChange);
    std::fflush(stdout);
  }

private:
  template <typename Body>
  double runPhase(const std::string &Name, int Milliseconds,
                  const Body &Action) {
    const std::uint64_t Bytes = Fleet.bodyBytes();
    const std::uint64_t Messages = Fleet.messages();
    MaxDelayMs = 0;
    Parts = BodyParts();
    const auto StartTime = std::chrono::steady_clock::now();
    Action();
    const std::chrono::duration<double> Took =
        std::chrono::steady_clock::now() - StartTime;
    const double Seconds = Milliseconds / 1000.0;
    const double PerNode = static_cast<double>(Count) * Seconds;
    // Each message counts twice: at its sender and at its receiver.
    const double Rate = 2 *
                        (static_cast<double>(Fleet.bodyBytes() - Bytes) +
                         static_cast<double>(Fleet.messages() - Messages) *
                             overheadPerMessage()) /
                        PerNode;
    const double EnvelopeRate =
        2 * static_cast<double>(Fleet.messages() - Messages) *
        overheadPerMessage() / PerNode;
    const double RateFactor = 2 / PerNode;
    fmt::print("| {} | {} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | {:.0f} | "
               "{:.0f} | {:.0f} | {:.3f} | {} |\n",
               Count, Name, Rate, EnvelopeRate, Parts.Exchanges * RateFactor,
               Parts.Rumours * RateFactor, Parts.RepairRequests * RateFactor,
               Parts.RepairReplies * RateFactor, Parts.Fetches * RateFactor,
               Took.count() / PerNode * 100,
               MaxDelayMs == 0
                   ? std::string()
                   : fmt::format("in force everywhere after at most "
                                 "{} ms",
                                 MaxDelayMs));
    std::fflush(stdout);
    return Rate;
  }

  /// Measures the first 10 s after an event and the other 50 s of its minute.
  template <typename Body>
  void runFirstMinute(const std::string &Name, const Body &Action) {
    const double First = runPhase(Name + ", first 10 s", FirstPhaseMs, Action);
    const double Rest =
        runPhase(Name + ", next 50 s", MinuteMs - FirstPhaseMs,
                 [this] { Fleet.run(MinuteMs - FirstPhaseMs); });
    fmt::print(
        "| {} | {}, first minute | {:.0f} | | | | | | | | |\n", Count, Name,
        (First * FirstPhaseMs + Rest * (MinuteMs - FirstPhaseMs)) / MinuteMs);
    std::fflush(stdout);
  }

  void changes() {
    for (int I = 0; I < FLAGS_changes; ++I) {
      const Version Published = Fleet.publish();
      const int Took = Fleet.runUntilInForce(Published, ChangePeriodMs);
      MaxDelayMs = std::max(MaxDelayMs, Took < 0 ? ChangePeriodMs : Took);
      Fleet.run(std::max(0, ChangePeriodMs - std::max(Took, 0)));
    }
  }

  void cut() {
    Fleet.cut(1, true);
    Fleet.run(CutMs);
  }

  void heal() {
    const Version Published = Fleet.publish();
    Fleet.cut(1, false);
    MaxDelayMs = Fleet.runUntilInForce(Published, HealMs);
    Fleet.run(HealMs - std::max(MaxDelayMs, 0));
  }

  void restart() {
    for (std::size_t I = 0; I < Count; ++I)
      Fleet.restart(I);
    const Version Published = Fleet.publish();
    MaxDelayMs = Fleet.runUntilInForce(Published, FirstPhaseMs);
    Fleet.run(FirstPhaseMs - std::max(MaxDelayMs, 0));
  }

  FakeFleet Fleet;
  const std::size_t Count;
  BodyParts Parts;
  int MaxDelayMs = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  fmt::print(
      "| Nodes | Phase | B/s per node, both directions | of it envelopes "
      "| exchanges | rumours | repair requests | repair replies | "
      "fetches | CPU % of a core per node, the simulation's included | "
      "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  std::istringstream Sizes(FLAGS_nodes);
  std::string Size;
  while (std::getline(Sizes, Size, ','))
    Run(std::strtoul(Size.c_str(), nullptr, 10)).execute();
  return EXIT_SUCCESS;
}
