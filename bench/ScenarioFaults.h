/// \file
/// Faults of the call scenarios, injected into the processes of a mesh.

#ifndef FESCUEWOOD_BENCH_SCENARIOFAULTS_H
#define FESCUEWOOD_BENCH_SCENARIOFAULTS_H

#include "ScenarioSizes.h"

#include <array>
#include <atomic>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

namespace fescuewood::bench {

inline constexpr std::array ScenarioNames = {"rest",
                                             "paused 10 s",
                                             "silent links",
                                             "loss 2%",
                                             "5x org",
                                             "half cold",
                                             "half restarted",
                                             "half restarted, nodes too",
                                             "domain out and back",
                                             "crashing request"};

/// One node in this many is paused.
inline constexpr std::size_t PausedEvery = 6;

/// Messages between nodes that are lost together with their connection, in
/// thousandths.
inline constexpr int LossPermille = 20;

/// The set of nodes that callers send to. Callers stop using a node that does
/// not answer, and use it again once it does. Thread-safe.
class UsableNodes {
public:
  static constexpr std::size_t MaxNodes = 64;

  UsableNodes() {
    for (auto &Flag : Flags)
      Flag = true;
  }

  bool isUsed(std::size_t Node) const { return Flags.at(Node); }
  void set(std::size_t Node, bool Used) { Flags.at(Node) = Used; }

private:
  std::array<std::atomic<bool>, MaxNodes> Flags;
};

/// The fault of one scenario on a mesh.
class ScenarioFault {
public:
  ScenarioFault(std::string Scenario, const Deployment &Size,
                standins::Mesh &Mesh, UsableNodes &NodesInUse)
      : Scenario(std::move(Scenario)), Size(Size), Mesh(Mesh),
        NodesInUse(NodesInUse) {}

  void begin() {
    if (Scenario == "domain out and back")
      Mesh.writeIntent(DomainOutFile, fmt::format("[domain {}]\nstatus = out\n",
                                                  Size.Domains.back()));
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I)
      inject(I);
  }

  /// Blocks until \p Until. Meanwhile lets callers use restarted nodes again
  /// once these answer.
  void waitUntil(std::chrono::steady_clock::time_point Until) {
    constexpr std::chrono::milliseconds PollPeriod(100);
    while (std::chrono::steady_clock::now() + PollPeriod < Until) {
      std::this_thread::sleep_for(PollPeriod);
      if (Scenario == "half restarted, nodes too")
        resumeAnsweringNodes();
    }
    std::this_thread::sleep_until(Until);
  }

  void end() {
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I)
      recover(I);
    if (Scenario == "domain out and back")
      Mesh.removeIntent(DomainOutFile);
  }

private:
  static constexpr const char *DomainOutFile = "90-domain-out.ini";

  void inject(std::size_t I) {
    const standins::MeshInstance &Instance = Mesh.Instances[I];
    const bool InHalf = I % 2 == 0;
    if (InHalf && Scenario.starts_with("half restarted"))
      controlTarget(Instance, "restart");
    if (InHalf && Scenario == "half restarted, nodes too")
      restartNode(I);
    if (InHalf && Scenario == "half cold")
      controlTarget(Instance, "chill");
    if (InHalf && Scenario == "silent links")
      Mesh.commandPeerProxy(Instance, "silence");
    if (Scenario == "loss 2%")
      Mesh.commandPeerProxy(Instance,
                            fmt::format("set?cut_permille={}", LossPermille));
    if (Scenario == "paused 10 s" && I % PausedEvery == 0) {
      NodesInUse.set(I, false);
      Instance.Node.signal(SIGSTOP);
    }
  }

  void recover(std::size_t I) {
    const standins::MeshInstance &Instance = Mesh.Instances[I];
    if (Scenario == "loss 2%")
      Mesh.commandPeerProxy(Instance, "set?cut_permille=0");
    // A domain returns with freshly started, cold targets.
    if (Scenario == "domain out and back" &&
        Instance.Domain == Size.Domains.back())
      controlTarget(Instance, "chill");
    if (Scenario == "paused 10 s" && I % PausedEvery == 0) {
      Instance.Node.signal(SIGCONT);
      NodesInUse.set(I, true);
    }
  }

  void controlTarget(const standins::MeshInstance &Instance,
                     const std::string &Command) const {
    Mesh.targetStats(Instance, Command);
  }

  void restartNode(std::size_t I) {
    NodesInUse.set(I, false);
    Mesh.Instances[I].Node.end();
    Mesh.startNode(Mesh.Instances[I]);
  }

  void resumeAnsweringNodes() {
    const std::string Path =
        fmt::format("/{}/read", Size.Services.front().Name);
    const std::string Fields = "X-Api-Key: " + keyOf(0) + "\r\n";
    constexpr int HttpOk = 200;
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I) {
      if (!NodesInUse.isUsed(I) &&
          Mesh.request(Mesh.Instances[I], "GET", Path, Fields).status() ==
              HttpOk)
        NodesInUse.set(I, true);
    }
  }

  std::string Scenario;
  const Deployment &Size;
  standins::Mesh &Mesh;
  UsableNodes &NodesInUse;
};

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_SCENARIOFAULTS_H
