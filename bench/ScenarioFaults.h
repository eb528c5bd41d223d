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
class CallersView {
public:
  static constexpr std::size_t MostNodes = 64;

  CallersView() {
    for (auto &Each : Uses)
      Each = true;
  }

  bool uses(std::size_t Node) const { return Uses.at(Node); }
  void set(std::size_t Node, bool Used) { Uses.at(Node) = Used; }

private:
  std::array<std::atomic<bool>, MostNodes> Uses;
};

/// The fault of one scenario on a mesh.
class ScenarioFault {
public:
  ScenarioFault(std::string Scenario, const Deployment &Size,
                standins::Mesh &Mesh, CallersView &Callers)
      : Scenario(std::move(Scenario)), Size(Size), Mesh(Mesh),
        Callers(Callers) {}

  void begin() {
    if (Scenario == "domain out and back")
      Mesh.writeIntent(OutFile, fmt::format("[domain {}]\nstatus = out\n",
                                            Size.Domains.back()));
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I)
      disturb(I);
  }

  /// Blocks until \p Until. Meanwhile lets callers use restarted nodes again
  /// once these answer.
  void watch(std::chrono::steady_clock::time_point Until) {
    constexpr std::chrono::milliseconds Between(100);
    while (std::chrono::steady_clock::now() + Between < Until) {
      std::this_thread::sleep_for(Between);
      if (Scenario == "half restarted, nodes too")
        returnCallers();
    }
    std::this_thread::sleep_until(Until);
  }

  void end() {
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I)
      mend(I);
    if (Scenario == "domain out and back")
      Mesh.removeIntent(OutFile);
  }

private:
  static constexpr const char *OutFile = "90-domain-out.ini";

  void disturb(std::size_t I) {
    const standins::MeshInstance &Each = Mesh.Instances[I];
    const bool Half = I % 2 == 0;
    if (Half && Scenario.starts_with("half restarted"))
      control(Each, "restart");
    if (Half && Scenario == "half restarted, nodes too")
      restartNode(I);
    if (Half && Scenario == "half cold")
      control(Each, "chill");
    if (Half && Scenario == "silent links")
      Mesh.disturbPeers(Each, "silence");
    if (Scenario == "loss 2%")
      Mesh.disturbPeers(Each, fmt::format("set?cut_permille={}", LossPermille));
    if (Scenario == "paused 10 s" && I % PausedEvery == 0) {
      Callers.set(I, false);
      Each.Node.signal(SIGSTOP);
    }
  }

  void mend(std::size_t I) {
    const standins::MeshInstance &Each = Mesh.Instances[I];
    if (Scenario == "loss 2%")
      Mesh.disturbPeers(Each, "set?cut_permille=0");
    // A domain returns with freshly started, cold targets.
    if (Scenario == "domain out and back" && Each.Domain == Size.Domains.back())
      control(Each, "chill");
    if (Scenario == "paused 10 s" && I % PausedEvery == 0) {
      Each.Node.signal(SIGCONT);
      Callers.set(I, true);
    }
  }

  void control(const standins::MeshInstance &Each,
               const std::string &Command) const {
    Mesh.targetStats(Each, Command);
  }

  void restartNode(std::size_t I) {
    Callers.set(I, false);
    Mesh.Instances[I].Node.end();
    Mesh.startNode(Mesh.Instances[I]);
  }

  void returnCallers() {
    const std::string Path =
        fmt::format("/{}/read", Size.Services.front().Name);
    const std::string Fields = "X-Api-Key: " + keyOf(0) + "\r\n";
    constexpr int Fine = 200;
    for (std::size_t I = 0; I < Mesh.Instances.size(); ++I)
      if (!Callers.uses(I) &&
          Mesh.request(Mesh.Instances[I], "GET", Path, Fields).status() == Fine)
        Callers.set(I, true);
  }

  std::string Scenario;
  const Deployment &Size;
  standins::Mesh &Mesh;
  CallersView &Callers;
};

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_SCENARIOFAULTS_H
