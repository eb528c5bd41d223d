// Real limiters over the real transport on loopback, by the real clock.

#include "nodes/PeerClient.h"
#include "nodes/PeerServer.h"
#include "organisations/OrganisationLimiter.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr double PerSecond = 20;
constexpr double Burst = 40;
constexpr std::uint32_t Nodes = 3;

/// Long enough for a busy machine; a test that waits so long has failed.
constexpr std::chrono::seconds Patience{30};

/// Short terms, so that the fence is over soon.
TokenSettings quickSettings() {
  TokenSettings Settings;
  Settings.RateLeaseTerm = DurationMs(300);
  Settings.PauseLimit = DurationMs(30'000);
  Settings.MaxWait = DurationMs(1000);
  return Settings;
}

struct NetworkNode {
  NetworkNode(std::uint32_t Slot, std::uint64_t Incarnation)
      : Name("recife/" + std::to_string(Slot)),
        Server(Link, {"127.50.0." + std::to_string(Slot + 1) + ":0"}),
        Client(Link),
        Limiter({Name, "recife", Slot, Incarnation}, quickSettings(), hooks()) {
    Link.Self = {Name, Incarnation};
    Link.Secret = "fleet secret of the test";
    Server.handle(PeerKind::Tokens,
                  [this](const PeerIdentity &From, std::string_view Body,
                         const ReplyHook &Reply) {
                    Limiter.handlePeer(From, Body, Reply);
                  });
    Address = Server.start().value_or("");
    Limiter.start();
  }

  ~NetworkNode() {
    Limiter.stop();
    Client.stop();
    Server.stop();
  }

  LimiterHooks hooks() {
    LimiterHooks Hooks;
    Hooks.Send = Client.hook();
    return Hooks;
  }

  std::string Name;
  std::string Address;
  PeerLink Link;
  PeerServer Server;
  PeerClient Client;
  OrganisationLimiter Limiter;
};

/// Counts decisions that come on any thread.
class Tally {
public:
  RateDecisionHook hook() {
    return [this](RateDecision D) {
      std::lock_guard<std::mutex> Lock(Mutex);
      ++Decided;
      Admitted += D.Admitted ? 1 : 0;
      Changed.notify_all();
    };
  }

  bool waitFor(std::size_t Count) {
    std::unique_lock<std::mutex> Lock(Mutex);
    return Changed.wait_for(Lock, Patience, [&] { return Decided >= Count; });
  }

  std::size_t admitted() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Admitted;
  }

private:
  std::mutex Mutex;
  std::condition_variable Changed;
  std::size_t Decided = 0;
  std::size_t Admitted = 0;
};

} // namespace

TEST_GROUP(LimiterNetwork) {
  std::vector<std::unique_ptr<NetworkNode>> Fleet;

  void setup() override {
    for (std::uint32_t Slot = 0; Slot < Nodes; ++Slot)
      Fleet.push_back(std::make_unique<NetworkNode>(Slot, 1));
    join();
  }

  void join() {
    auto Config = std::make_shared<Snapshot>();
    Config->Id.Revision = 1;
    Config->Domains["recife"] = {"recife", "agreste", DomainStatus::In, Nodes};
    Config->Rates["rate"] = {"rate", PerSecond, Burst};
    Config->Organisations["registry"] = {"registry", "rate", 1};
    std::vector<Instance> Instances;
    for (std::uint32_t Slot = 0; Slot < Nodes; ++Slot)
      Instances.push_back({Fleet[Slot]->Name, "recife", "queue", Slot,
                           Fleet[Slot]->Address, TargetState::Ready});
    for (auto &N : Fleet) {
      N->Limiter.setInstances(Instances);
      N->Limiter.setSnapshot(Config);
    }
  }

  double held() {
    double Sum = 0;
    for (auto &N : Fleet)
      for (const OrganisationStatus &S : N->Limiter.status().Organisations)
        Sum += S.TokensHeld;
    return Sum;
  }

  bool waitUntilHeld(double Tokens) {
    const auto Until = std::chrono::steady_clock::now() + Patience;
    while (held() < Tokens && std::chrono::steady_clock::now() < Until)
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    return held() >= Tokens;
  }

  /// Charges one request at a time, over all nodes in turn or one of them.
  std::size_t chargeMany(std::size_t Count, bool OneNode) {
    Tally Results;
    for (std::size_t I = 0; I < Count; ++I) {
      NetworkNode &N = *Fleet[OneNode ? 0 : I % Nodes];
      N.Limiter.charge("registry", Results.hook());
      CHECK(Results.waitFor(I + 1));
    }
    return Results.admitted();
  }
};

TEST(LimiterNetwork, OneNodeSpendsTokensOfTheOthersAndNeverMoreThanTheBound) {
  CHECK(waitUntilHeld(Burst * 0.95));

  const auto Begin = std::chrono::steady_clock::now();
  const std::size_t Admitted = chargeMany(60, true);
  const std::chrono::duration<double> Passed =
      std::chrono::steady_clock::now() - Begin;

  // More than its own third of the burst, at most the fleet's bound.
  CHECK(Admitted > Burst / Nodes + PerSecond / Nodes * Passed.count());
  CHECK(Admitted <= Burst + PerSecond * Passed.count() + 1e-6);
}

TEST(LimiterNetwork, ARestartOfEveryNodeAdmitsNoSecondBurst) {
  CHECK(waitUntilHeld(Burst * 0.95));

  const auto Begin = std::chrono::steady_clock::now();
  std::size_t Admitted = chargeMany(50, false);
  Fleet.clear();
  for (std::uint32_t Slot = 0; Slot < Nodes; ++Slot)
    Fleet.push_back(std::make_unique<NetworkNode>(Slot, 2));
  join();
  CHECK(waitUntilHeld(1));
  Admitted += chargeMany(30, false);
  const std::chrono::duration<double> Passed =
      std::chrono::steady_clock::now() - Begin;

  CHECK(Admitted <= Burst + PerSecond * Passed.count() + 1e-6);
}
