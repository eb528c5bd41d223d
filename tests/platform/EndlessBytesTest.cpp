// Tests of nodes whose targets, store and peers send bytes without end, all at
// once, with real processes.

#include "platform/StoreMeshFixture.h"

#include "nodes/PeerEnvelope.h"
#include "nodes/PeerFrame.h"
#include "support/ProcessPeak.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Tcp;

namespace {

/// Memory of the smallest machine, less a quarter for its system.
constexpr std::size_t SmallestMachineBytes = 160'000'000;
constexpr std::size_t MaxResidentBytes = SmallestMachineBytes / 4 * 3;

constexpr int Callers = 60;
constexpr int FloodingConnections = 60;
constexpr std::chrono::seconds FloodTime{4};
constexpr std::chrono::milliseconds Pause{20};

/// Connections that send messages to a node which never end.
class PeerFlood {
public:
  explicit PeerFlood(const std::string &Address) {
    for (int I = 0; I < FloodingConnections; ++I) {
      Sockets.emplace_back(Context).connect(standins::endpointOf(Address));
      Sockets.back().non_blocking(true);
      sendSome(Sockets.back(), packFrameHeader({MaxPeerMessageBytes, 1}));
    }
  }

  /// Sends what the node takes at the moment. The last byte of each message is
  /// left out.
  void sendSome() {
    const std::string Block(64 * 1024, 'x');
    for (std::size_t I = 0; I < Sockets.size(); ++I) {
      std::size_t &Sent = SentBytes[I];
      const std::size_t Left = MaxPeerMessageBytes - 1 - Sent;
      Sent +=
          sendSome(Sockets[I], Block.substr(0, std::min(Left, Block.size())));
    }
  }

private:
  static std::size_t sendSome(Tcp::socket &Socket, const std::string &Bytes) {
    std::error_code Ignored;
    return Socket.write_some(asio::buffer(Bytes), Ignored);
  }

  asio::io_context Context;
  std::deque<Tcp::socket> Sockets;
  std::vector<std::size_t> SentBytes =
      std::vector<std::size_t>(FloodingConnections, 0);
};

} // namespace

TEST_GROUP(EndlessBytes) {
  StoreMesh Mesh;
  std::atomic<bool> Stopping = false;
  std::atomic<int> Number = 0;
  std::vector<std::thread> Threads;

  void setup() override {
    Mesh.addInstance("west", "queue", "i-third");
    Mesh.Slots = 12;
    try {
      Mesh.start();
    } catch (const std::exception &Error) {
      FAIL(Error.what());
    }
  }
  void teardown() override {
    Stopping = true;
    for (std::thread &Thread : Threads)
      Thread.join();
  }

  standins::Message ask(const std::string &Query) {
    const int Mine = ++Number;
    const auto &Entry =
        Mesh.Instances[static_cast<std::size_t>(Mine) % Mesh.Instances.size()];
    return Mesh.send(Entry, {.Id = "request-" + std::to_string(Mine),
                             .Path = "/open/" + Query});
  }

  /// Repeats an action on a thread until the test ends.
  void repeat(std::function<void()> Action) {
    Threads.emplace_back([this, Action = std::move(Action)] {
      while (!Stopping)
        Action();
    });
  }

  /// Starts callers whose requests are answered without end.
  void floodFromTargets() {
    const char *Kinds[] = {"?endless=body", "?endless=large-chunks",
                           "?endless=until-close"};
    for (int I = 0; I < Callers; ++I)
      repeat([this, Kind = std::string(Kinds[I % 3])] { ask(Kind); });
  }

  void floodFromPeers() {
    auto Floods = std::make_shared<std::deque<PeerFlood>>();
    for (const StoreMeshInstance &Instance : Mesh.Instances)
      Floods->emplace_back(StoreMesh::peerAddress(Instance));
    repeat([Floods] {
      for (PeerFlood &Flood : *Floods)
        Flood.sendSome();
      std::this_thread::sleep_for(Pause);
    });
  }

  void floodFromStore() const { Mesh.commandStore("set?endless=1"); }

  /// Checks that the nodes serve other callers and stay small meanwhile.
  void checkServingAndSmall() {
    int Served = 0;
    int Failed = 0;
    const auto End = std::chrono::steady_clock::now() + FloodTime;
    while (std::chrono::steady_clock::now() < End) {
      ++(ask("").status() == 200 ? Served : Failed);
      std::this_thread::sleep_for(Pause);
    }
    std::size_t Peak = 0;
    for (const StoreMeshInstance &Instance : Mesh.Instances)
      Peak = std::max(Peak, processPeak(Instance.Node.id()));
    UT_PRINT(("peak bytes: " + std::to_string(Peak)).c_str());
    CHECK_TRUE_TEXT(Peak < MaxResidentBytes, std::to_string(Peak).c_str());
    CHECK(Served > 0);
    LONGS_EQUAL(0, Failed);
  }
};

// Each guards against a node that runs out of memory, and other callers'
// requests with it, because bytes without end are bounded one by one but not in
// sum.

TEST(EndlessBytes, FromTargetsLeaveANodeSmallAndServing) {
  floodFromTargets();

  checkServingAndSmall();
}

TEST(EndlessBytes, FromPeersLeaveANodeSmallAndServing) {
  floodFromPeers();

  checkServingAndSmall();
}

TEST(EndlessBytes, FromTheStoreLeaveANodeSmallAndServing) {
  floodFromStore();

  checkServingAndSmall();
}

TEST(EndlessBytes, FromAllAtOnceLeaveANodeSmallAndServing) {
  floodFromTargets();
  floodFromPeers();
  floodFromStore();

  checkServingAndSmall();
}
