/// \file
/// Node process of ControlBench: the control plane of one node, without callers
/// and target.
///
/// Prints "V REVISION MILLISECONDS" when a version is in force and
/// "B SENT RECEIVED CONNECTIONS" each second. Reads commands from standard
/// input: "cut DOMAIN" drops all traffic between that failure domain and the
/// other domains and the platform, "heal" reconnects the domains, and "source"
/// reconnects the platform.

#ifndef FESCUEWOOD_BENCH_CONTROLBENCHNODE_H
#define FESCUEWOOD_BENCH_CONTROLBENCHNODE_H

#include "core/TaskThread.h"
#include "intent/CompileIntent.h"
#include "nodes/ControlDuty.h"
#include "nodes/PeerClient.h"
#include "nodes/PeerServer.h"
#include "sources/PlatformReader.h"

#include <atomic>
#include <cstdio>
#include <cstdlib>
#include <iostream>
#include <mutex>
#include <sstream>
#include <string>
#include <utility>
#include <vector>

#include <fmt/format.h>

namespace fescuewood::bench {

/// "127.20.DOMAIN+1.SLOT+1:PORT".
inline std::string nodeAddress(std::size_t Domain, std::size_t Slot, int Port) {
  return fmt::format("127.20.{}.{}:{}", Domain + 1, Slot + 1, Port);
}

/// Options of one node process.
struct NodeOptions {
  std::size_t Index = 0;
  std::size_t Domains = 5;
  int Port = 0;            ///< Shared by all nodes of the run.
  std::string Source;      ///< "IP:port" of the platform.
  bool PollSource = false; ///< Baseline: every node reads the source.
};

/// The control plane of one node.
class BenchNode {
public:
  explicit BenchNode(const NodeOptions &Options)
      : Options(Options), Domain(Options.Index % Options.Domains),
        Slot(Options.Index / Options.Domains),
        Server(Link, {nodeAddress(Domain, Slot, Options.Port), 1024, 4096}),
        Client(Link), Control(settings(), {name(), incarnation()}, hooks()),
        Reader(platformSource(), platformSettings(), readerHooks(),
               incarnation()) {
    Link.Self = {name(), incarnation()};
    Link.Secret = "bench";
  }

  int run() {
    Control.registerWith(Server);
    if (!Options.PollSource && !Server.start())
      return EXIT_FAILURE;
    if (!Options.PollSource)
      Control.start();
    Reader.start();
    Control.setOwnState(TargetState::Ready);
    Report.start(DurationMs(1000), [this] { report(); });
    std::string Line;
    while (std::getline(std::cin, Line))
      runCommand(Line);
    std::_Exit(EXIT_SUCCESS); // The parent closed the pipe; skip destructors.
  }

private:
  std::string name() const { return fmt::format("d{}/n{}", Domain, Slot); }

  std::uint64_t incarnation() const {
    static const auto Started =
        static_cast<std::uint64_t>(Clock::wall().now().Value);
    return Started;
  }

  ControlSettings settings() const {
    ControlSettings Settings;
    Settings.Self = {name(),
                     fmt::format("d{}", Domain),
                     "service-0",
                     static_cast<std::uint32_t>(Slot),
                     nodeAddress(Domain, Slot, Options.Port),
                     TargetState::Cold};
    for (std::size_t D = 0; D < Options.Domains; ++D)
      for (std::size_t S = 0; S < 2; ++S)
        Settings.Seeds.push_back(nodeAddress(D, S, Options.Port));
    Settings.Seed = Options.Index + 1;
    return Settings;
  }

  ControlHooks hooks() {
    ControlHooks Hooks;
    Hooks.Send = [this](const PeerRequest &Request,
                        const PeerReplyHook &OnReply) {
      if (!isCut(Request.Address)) {
        Client.send(Request, OnReply);
        return;
      }
      std::lock_guard<std::mutex> Lock(Mutex);
      DroppedRequests.push_back(
          {Clock::monotonic().now() + Request.Timeout, OnReply});
    };
    Hooks.Compile = [](const IntentBundle &Bundle,
                       std::string &Why) -> SnapshotPtr {
      CompiledIntent Compiled = compileIntent(Bundle);
      if (!Compiled.Result && !Compiled.Found.empty())
        Why = Compiled.Found.front().text();
      return Compiled.Result;
    };
    Hooks.OnSnapshot = [](const SnapshotPtr &Applied) {
      printVersion(Applied->Id.Revision);
    };
    return Hooks;
  }

  static void printVersion(std::uint64_t Revision) {
    std::printf("V %llu %lld\n", static_cast<unsigned long long>(Revision),
                static_cast<long long>(Clock::monotonic().now().Value));
    std::fflush(stdout);
  }

  PlatformSettings platformSettings() const {
    PlatformSettings Settings;
    Settings.FleetReadsPerSecond = 2000;
    Settings.FleetNodes = 1200;
    Settings.WatchWait = DurationMs(3000);
    Settings.Timeout = DurationMs(2000);
    return Settings;
  }

  PlatformSource platformSource() {
    PlatformSource Source =
        httpSource(*Endpoint::parse(Options.Source), DurationMs(2000));
    auto Read = std::move(Source.ReadIntent);
    Source.ReadIntent = [this, Read](const Version &Known, DurationMs Wait) {
      if (SourceCut)
        return PlatformRead<IntentBundle>{std::nullopt,
                                          ResultCode::PeerUnreachable, "cut"};
      return Read(Known, Wait);
    };
    return Source;
  }

  PlatformReaderHooks readerHooks() {
    PlatformReaderHooks Hooks;
    Hooks.IsReader = [this] {
      return Options.PollSource || Control.isReader();
    };
    Hooks.NewestSeenVersion = [this] {
      return Options.PollSource ? PolledVersion : Control.newestSeenVersion();
    };
    Hooks.OnBundle = [this](IntentBundle Bundle) {
      if (!Options.PollSource) {
        Control.offerBundle(std::move(Bundle));
        return;
      }
      const CompiledIntent Compiled = compileIntent(Bundle);
      if (!Compiled.Result)
        return;
      PolledVersion = Bundle.version();
      printVersion(Bundle.Revision);
    };
    return Hooks;
  }

  bool isCut(const std::string &Address) const {
    const int Isolated = CutDomain;
    if (Isolated < 0)
      return false;
    const std::string Prefix = fmt::format("127.20.{}.", Isolated + 1);
    const bool PeerIsolated = Address.starts_with(Prefix);
    const bool SelfIsolated = Isolated == static_cast<int>(Domain);
    return PeerIsolated != SelfIsolated;
  }

  void runCommand(const std::string &Line) {
    std::istringstream Words(Line);
    std::string Command;
    int Isolated = -1;
    Words >> Command >> Isolated;
    CutDomain = Command == "cut" ? Isolated : -1;
    if (Command == "cut")
      SourceCut = Isolated == static_cast<int>(Domain);
    if (Command == "source")
      SourceCut = false;
  }

  void report() {
    std::uint64_t Sent = 0;
    std::uint64_t Received = 0;
    for (const PeerKindTraffic &Kind : Link.Traffic.byKind()) {
      Sent += Kind.BytesSent;
      Received += Kind.BytesReceived;
    }
    std::printf("B %llu %llu %llu\n", static_cast<unsigned long long>(Sent),
                static_cast<unsigned long long>(Received),
                static_cast<unsigned long long>(Link.Traffic.connections()));
    std::fflush(stdout);
    failDroppedRequests();
  }

  /// Fails requests dropped by the partition once their timeout has passed.
  void failDroppedRequests() {
    std::vector<PeerReplyHook> Due;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      std::erase_if(DroppedRequests, [&](const auto &Item) {
        if (Item.first > Clock::monotonic().now())
          return false;
        Due.push_back(Item.second);
        return true;
      });
    }
    for (const PeerReplyHook &OnReply : Due)
      OnReply({std::nullopt, {}, ResultCode::PeerTimeout});
  }

  const NodeOptions Options;
  const std::size_t Domain;
  const std::size_t Slot;
  std::atomic<int> CutDomain{-1};
  std::atomic<bool> SourceCut{false};
  Version PolledVersion; ///< Accessed by the reader's thread only.
  std::mutex Mutex;
  std::vector<std::pair<TimeMs, PeerReplyHook>> DroppedRequests;
  PeerLink Link;
  PeerServer Server;
  PeerClient Client;
  ControlDuty Control;
  PlatformReader Reader;
  TaskThread Report{"report", 16};
};

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_CONTROLBENCHNODE_H
