// Faults in pairs on real processes. A pair is a line: what begins, and what
// comes on top of it a second later. The promises are the same for every pair.

#include "integration/MeshFixture.h"
#include "operators/HttpGet.h"
#include "operators/NodeStatus.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Mesh;
using standins::MeshInstance;

namespace {

using std::chrono::seconds;

/// Places in the mesh of \ref pairMesh; the entries have no target of `queue`.
enum InstanceIndex { HarbourQueue, MarketQueue, HarbourEntry, MarketEntry };

/// A change is in force everywhere within this time.
constexpr seconds InForceLimit{15};

/// Long enough for silence to be noticed: a peer is suspected and passed over.
constexpr seconds OverlapDuration{4};

/// A node takes back what was wrongly said of it within about a minute.
constexpr seconds RefuteLimit{60};

/// How a fault begins and ends, and what it adds to what is checked.
struct Fault {
  std::function<void(Mesh &)> Begin;
  std::function<void(Mesh &)> End = [](Mesh &) {};
  std::vector<InstanceIndex> DownNodes =
      {};                    ///< Nodes that answer no one meanwhile.
  bool KeyWithdrawn = false; ///< Of organisation `second`.
  std::string DomainOut = {};
};

Fault killed(InstanceIndex Index) {
  return {[=](Mesh &M) { M.Instances[Index].Node.end(); },
          [=](Mesh &M) { M.startNode(M.Instances[Index]); },
          {Index}};
}

Fault restarted(const std::vector<InstanceIndex> &Indices) {
  return {[=](Mesh &M) {
    for (InstanceIndex Index : Indices)
      M.Instances[Index].Node.end();
    for (InstanceIndex Index : Indices)
      M.startNode(M.Instances[Index]);
  }};
}

Fault leaving(InstanceIndex Index) {
  return {[=](Mesh &M) { M.Instances[Index].Node.signal(SIGTERM); },
          [=](Mesh &M) {
            CHECK(std::optional(0) ==
                  M.Instances[Index].Node.wait(seconds(40)));
            M.startNode(M.Instances[Index]);
          },
          {Index}};
}

Fault paused(InstanceIndex Index) {
  return {[=](Mesh &M) { M.Instances[Index].Node.signal(SIGSTOP); },
          [=](Mesh &M) { M.Instances[Index].Node.signal(SIGCONT); },
          {Index}};
}

Fault domainCut(const std::string &Domain) {
  return {[=](Mesh &M) { M.partition(Domain); },
          [](Mesh &M) { M.partition(""); }};
}

Fault platformOut() {
  return {[](Mesh &M) { M.Platform.end(); },
          [](Mesh &M) { M.startPlatform(); }};
}

Fault connectionsSilent() {
  return {[](Mesh &M) {
    for (const MeshInstance &Instance : M.Instances)
      M.disturbPeers(Instance, "silence");
  }};
}

Fault targetCrashed(InstanceIndex Index) {
  return {[=](Mesh &M) { M.targetStats(M.Instances[Index], "restart"); }};
}

Fault keyWithdrawn() {
  Fault Result{[](Mesh &M) {
                 M.writeIntent("90-key.ini",
                               "[key key-second]\nstatus = withdrawn\n");
               },
               [](Mesh &M) { M.removeIntent("90-key.ini"); }};
  Result.KeyWithdrawn = true;
  return Result;
}

Fault domainOut(const std::string &Domain) {
  Fault Result{[=](Mesh &M) {
                 M.writeIntent("91-out.ini",
                               "[domain " + Domain + "]\nstatus = out\n");
               },
               [](Mesh &M) { M.removeIntent("91-out.ini"); }};
  Result.DomainOut = Domain;
  return Result;
}

standins::MeshOptions pairMesh() {
  standins::MeshOptions Options = smallMesh();
  Options.Groups = {{"queue", "harbour", 1, 4},
                    {"queue", "market", 1, 4},
                    {"ledger", "harbour", 1, 4},
                    {"ledger", "market", 1, 4}};
  Options.Intent["10-domains.ini"] =
      "[domain harbour]\nregion = coast\nnodes = 2\n"
      "[domain market]\nregion = coast\nnodes = 2\n";
  Options.PeerProxies = true;
  Options.TargetProxies = true;
  Options.ColdMs = 2000;
  return Options;
}

void eventuallyWithin(seconds Limit, const std::string &What,
                      const std::function<bool()> &Condition) {
  try {
    Mesh::await(What, Condition, Limit);
  } catch (const std::runtime_error &Error) {
    FAIL(Error.what());
  }
}

/// One pair of faults on a mesh under load.
class PairRun {
public:
  PairRun(Fault First, Fault Second)
      : First(std::move(First)), Second(std::move(Second)),
        TestMesh(pairMesh()) {
    start(TestMesh);
  }

  /// Begins both, checks what holds meanwhile, ends both, checks the rest. The
  /// second one lasts longer, so that what the first one kept down comes back
  /// to it.
  void run() {
    BackgroundLoad Running(load());
    pause();
    First.Begin(TestMesh);
    pause();
    Second.Begin(TestMesh);
    pause(OverlapDuration);
    checkMeanwhile(true);
    First.End(TestMesh);
    checkMeanwhile(false);
    Second.End(TestMesh);
    checkConverged();
    const auto Sum = Running.finish(TestMesh);
    CHECK_TRUE_TEXT(guaranteesHold(Sum), describe(Sum).c_str());
  }

private:
  static void pause(seconds Span = seconds(1)) {
    std::this_thread::sleep_for(Span);
  }

  standins::LoadOptions load() const {
    standins::LoadOptions Load;
    Load.Nodes = {
        TestMesh.address(TestMesh.Instances[HarbourEntry], Mesh::Callers),
        TestMesh.address(TestMesh.Instances[MarketEntry], Mesh::Callers)};
    Load.Streams = {makeStream("GET", "/queue", 20),
                    makeStream("POST", "/sittings", 20)};
    Load.Seconds = 12;
    Load.Seed = 21;
    return Load;
  }

  bool isUp(InstanceIndex Index, bool FirstActive) const {
    const auto In = [&](const std::vector<InstanceIndex> &DownNodes) {
      return std::find(DownNodes.begin(), DownNodes.end(), Index) !=
             DownNodes.end();
    };
    return !In(Second.DownNodes) && !(FirstActive && In(First.DownNodes));
  }

  int statusOf(InstanceIndex Entry, const std::string &Key) const {
    return TestMesh
        .request(TestMesh.Instances[Entry], "GET", "/queue",
                 keyHeaders(Key, "pair"))
        .status();
  }

  bool allEntriesServe(bool FirstActive) const {
    for (InstanceIndex Entry : {HarbourEntry, MarketEntry})
      if (isUp(Entry, FirstActive) && statusOf(Entry, "key-first") != 200)
        return false;
    return true;
  }

  /// While faults last, calls are served, no node that can be reached admits
  /// the withdrawn key, and a domain that is out gets no new work.
  void checkMeanwhile(bool FirstActive) const {
    eventuallyWithin(InForceLimit, "every entry that is up serves",
                     [&] { return allEntriesServe(FirstActive); });
    if (Second.KeyWithdrawn) {
      for (InstanceIndex Index :
           {HarbourQueue, MarketQueue, HarbourEntry, MarketEntry})
        if (isUp(Index, FirstActive))
          eventuallyWithin(InForceLimit, "the withdrawn key is refused", [&] {
            return statusOf(Index, "key-second") == 401;
          });
    }
    if (!Second.DomainOut.empty()) {
      eventuallyWithin(InForceLimit, "no new work in the domain that is out",
                       [&] {
                         const int Before = runsInDomainOut();
                         pause();
                         return runsInDomainOut() == Before;
                       });
    }
    constexpr int Rounds = 20;
    for (int I = 0; I < Rounds; ++I)
      CHECK_TRUE_TEXT(allEntriesServe(FirstActive),
                      "an entry refused once it served");
  }

  int runsInDomainOut() const {
    int Runs = 0;
    for (const MeshInstance &Instance : TestMesh.Instances)
      if (Instance.Domain == Second.DomainOut)
        Runs += TestMesh.targetStats(Instance)["runs"].get<int>();
    return Runs;
  }

  /// Every node is up and sees every other one alive, at the same version.
  void checkConverged() const {
    eventuallyWithin(InForceLimit, "every node serves", [&] {
      return TestMesh.allServing() && allEntriesServe(false);
    });
    for (const MeshInstance &Instance : TestMesh.Instances)
      eventuallyWithin(RefuteLimit, Instance.Name + " sees the mesh well",
                       [&] { return isHealthy(Instance); });
    for (InstanceIndex Entry : {HarbourEntry, MarketEntry})
      eventuallyWithin(InForceLimit, "the key is admitted again",
                       [&] { return statusOf(Entry, "key-second") == 200; });
  }

  bool isHealthy(const MeshInstance &Instance) const {
    std::string Error;
    bool Healthy = false;
    const auto Page = httpGet(TestMesh.address(Instance, Mesh::Operators),
                              "/status", DurationMs(1000), Error);
    return Page && statusTable(*Page, Healthy) && Healthy;
  }

  Fault First;
  Fault Second;
  Mesh TestMesh;
};

} // namespace

// In the long set: each pair has a mesh of its own.
TEST_GROUP(MeshPairsAlone){};

TEST(MeshPairsAlone, PlatformOutAndHalfTheNodesRestarted) {
  PairRun(platformOut(), restarted({HarbourQueue, MarketEntry})).run();
}

TEST(MeshPairsAlone, DomainCutAndKeyWithdrawn) {
  PairRun(domainCut("market"), keyWithdrawn()).run();
}

TEST(MeshPairsAlone, NodePausedAndItsDomainTakenOut) {
  PairRun(paused(HarbourQueue), domainOut("harbour")).run();
}

TEST(MeshPairsAlone, ConnectionsSilentAndATargetCrashed) {
  PairRun(connectionsSilent(), targetCrashed(HarbourQueue)).run();
}

TEST(MeshPairsAlone, NodeLeavingAndAnEntryKilled) {
  PairRun(leaving(MarketQueue), killed(MarketEntry)).run();
}

TEST(MeshPairsAlone, NodePausedAndKeyWithdrawn) {
  PairRun(paused(HarbourEntry), keyWithdrawn()).run();
}
