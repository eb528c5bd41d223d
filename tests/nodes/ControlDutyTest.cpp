#include "nodes/ControlDuty.h"

#include "nodes/FakePeer.h"
#include "nodes/PeerClient.h"

#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::size_t FleetSize = 4;

/// Loopback address derived from the process id, so that concurrent test runs
/// do not share addresses.
std::string addressOf(std::size_t Index) {
  const auto Id = static_cast<unsigned>(getpid());
  return "127.20." + std::to_string(128 + Id / 256 % 128) + "." +
         std::to_string(Id % 256) + ":" + std::to_string(7201 + Index);
}

/// Transport and control duty of one node over real sockets.
class SocketNode {
public:
  SocketNode(std::size_t Index, std::uint64_t Incarnation,
             const std::string &Secret = "secret")
      : Link{{nameOf(Index), Incarnation}, Secret, {}, HybridClock(), {}, {}},
        Server(Link, {addressOf(Index), 64, 64}), Client(Link),
        Control(settingsOf(Index), Link.Self, hooks()) {
    Control.registerWith(Server);
    Started = eventually([this] { return Server.start().has_value(); });
    Control.start();
  }

  ~SocketNode() {
    // The transport calls the duty, so it is stopped before the duty is
    // destroyed.
    Control.stop();
    Server.stop();
    Client.stop();
  }
  SocketNode(const SocketNode &) = delete;
  SocketNode &operator=(const SocketNode &) = delete;

  bool hasInForce(const Version &Wanted) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return !InForce.empty() && InForce.back() == Wanted;
  }

  std::vector<Version> history() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return InForce;
  }

  bool Started = false;
  PeerLink Link;
  PeerServer Server;
  PeerClient Client;

private:
  static std::string nameOf(std::size_t Index) {
    return "a/" + std::to_string(Index);
  }

  static ControlSettings settingsOf(std::size_t Index) {
    ControlSettings Settings;
    Settings.Self = {nameOf(Index),
                     "a",
                     "s",
                     static_cast<std::uint32_t>(Index),
                     addressOf(Index),
                     TargetState::Ready};
    for (std::size_t I = 0; I < FleetSize; ++I)
      Settings.Seeds.push_back(addressOf(I));
    return Settings;
  }

  ControlHooks hooks() {
    ControlHooks Hooks;
    Hooks.Send = Client.sendHook();
    Hooks.Compile = [](const IntentBundle &Bundle, std::string &) {
      auto Result = std::make_shared<Snapshot>();
      Result->Id = Bundle.version();
      Result->Domains["a"] = {"a", "r", DomainStatus::In, FleetSize};
      return Result;
    };
    Hooks.OnSnapshot = [this](const SnapshotPtr &Applied) {
      std::lock_guard<std::mutex> Lock(Mutex);
      InForce.push_back(Applied->Id);
    };
    return Hooks;
  }

  std::mutex Mutex;
  std::vector<Version> InForce;

public:
  // Declared last: its thread uses the members above until it is destroyed.
  ControlDuty Control;
};

using NodePtr = std::unique_ptr<SocketNode>;

bool allHave(const std::vector<NodePtr> &Nodes, const Version &Wanted) {
  return std::all_of(Nodes.begin(), Nodes.end(), [&](const NodePtr &Node) {
    return Node->hasInForce(Wanted);
  });
}

} // namespace

TEST_GROUP(ControlDuty) {
  std::vector<NodePtr> Nodes;
  IntentBundle Old{1, {{"10-a.ini", "old"}}};
  IntentBundle Newest{
      2, {{"10-a.ini", "new"}, {"20-b.ini", std::string(300000, 'b')}}};

  void setup() override {
    for (std::size_t I = 0; I < FleetSize; ++I)
      Nodes.push_back(std::make_unique<SocketNode>(I, 1));
    for (const NodePtr &Node : Nodes)
      CHECK_TRUE(Node->Started);
  }
  void teardown() override { Nodes.clear(); }
};

TEST(ControlDuty, RestartedNodeIgnoresStaleSourceOverRealSockets) {
  Nodes[0]->Control.offerBundle(Old);
  CHECK_TRUE(eventually([&] { return allHave(Nodes, Old.version()); }));
  Nodes[1]->Control.offerBundle(Newest);
  CHECK_TRUE(eventually([&] { return allHave(Nodes, Newest.version()); }));

  Nodes[2].reset();
  Nodes[2] = std::make_unique<SocketNode>(2, 2);
  Nodes[2]->Control.offerBundle(Old);

  CHECK_TRUE(eventually([&] { return allHave(Nodes, Newest.version()); }));
  LONGS_EQUAL(1, Nodes[2]->history().size());
  CHECK_TRUE(eventually(
      [&] { return Nodes[0]->Control.hasReachedAllSlots(Newest.version()); }));
}

TEST(ControlDuty, AcceptsNoVersionFromProcessWithAnotherSecret) {
  Nodes[0]->Control.offerBundle(Old);
  CHECK_TRUE(eventually([&] { return allHave(Nodes, Old.version()); }));
  Nodes[3].reset();
  SocketNode Foreign(3, 9, "another fleet");
  Foreign.Control.offerBundle(Newest);
  CHECK_TRUE(eventually([&] { return Foreign.hasInForce(Newest.version()); }));

  // Waits until another node has refused a message of the foreign process.
  const auto Refused = [&] {
    const auto Counts = Nodes[0]->Link.Traffic.refusals();
    return std::any_of(Counts.begin(), Counts.end(), [](const auto &R) {
      return R.Reason == ResultCode::PeerSealInvalid;
    });
  };
  CHECK_TRUE(eventually(Refused));

  for (std::size_t I = 0; I < 3; ++I)
    CHECK_TRUE(Nodes[I]->hasInForce(Old.version()));
}

TEST(ControlDuty, ReportsStatusAfterStop) {
  CHECK_TRUE(eventually(
      [&] { return Nodes[0]->Control.status().Members.size() == FleetSize; }));

  Nodes[0]->Control.stop();

  LONGS_EQUAL(FleetSize, Nodes[0]->Control.status().Members.size());
  CHECK_FALSE(Nodes[0]->Control.hasReachedAllSlots(Old.version()));
}

TEST_GROUP(ControlDutyQueue){};

TEST(ControlDutyQueue, VersionOfferedToAFullQueueComesIntoForce) {
  ControlSettings Settings;
  Settings.Self = {"a/0", "a", "s", 0, "127.0.0.1:1", TargetState::Ready};
  Settings.EachNodeMayRead = true;
  ControlHooks Hooks;
  Hooks.Send = [](const PeerRequest &, const PeerReplyHook &) {};
  Hooks.Compile = [](const IntentBundle &Bundle, std::string &) {
    auto Result = std::make_shared<Snapshot>();
    Result->Id = Bundle.version();
    return Result;
  };
  std::atomic<std::uint64_t> InForce = 0;
  Hooks.OnSnapshot = [&InForce](const SnapshotPtr &Applied) {
    InForce = Applied->Id.Revision;
  };
  ControlDuty Control(Settings, {"a/0", 1}, std::move(Hooks));
  constexpr int MoreThanTheQueueHolds = 10'000;
  for (int I = 0; I < MoreThanTheQueueHolds; ++I)
    Control.offerProof(TimeMs(1), 1);

  Control.offerBundle({7, {{"10-a.ini", "new"}}});
  Control.start();

  CHECK_TRUE(eventually([&] { return InForce == 7; }));
  Control.stop();
}
