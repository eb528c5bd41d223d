// Tests of a mesh of real processes under two overlapping faults. Each test
// names the first fault and a second one that begins one second later; the
// checked guarantees are the same for every pair.

#include "integration/MeshFixture.h"
#include "operators/HttpGet.h"
#include "operators/NodeStatus.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Mesh;
using standins::MeshInstance;

namespace {

using std::chrono::seconds;

/// Indices of the instances of \ref pairMesh. The entries have no target of
/// `queue`.
enum InstanceIndex { HarbourQueue, MarketQueue, HarbourEntry, MarketEntry };

/// Time within which a change has to be in force on every node.
constexpr seconds InForceLimit{15};

/// Time for which both faults last; long enough for a silent peer to be
/// suspected and no longer used.
constexpr seconds OverlapDuration{4};

/// Time within which a node refutes a false suspicion; takes about a minute.
constexpr seconds RefuteLimit{60};

/// A fault: how it begins and ends, and the additional checks that it requires.
struct Fault {
  std::function<void(Mesh &)> Begin;
  std::function<void(Mesh &)> End = [](Mesh &) {};
  std::vector<InstanceIndex> DownNodes = {}; ///< Unavailable during the fault.
  bool KeyWithdrawn = false;  ///< The key of organisation `second`.
  std::string DomainOut = {}; ///< Failure domain with the status out.
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
      M.commandPeerProxy(Instance, "silence");
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

void eventuallyWithin(seconds Limit, const std::string &Description,
                      const std::function<bool()> &Condition) {
  try {
    Mesh::await(Description, Condition, Limit);
  } catch (const std::runtime_error &Error) {
    FAIL(Error.what());
  }
}

/// Runs a pair of faults on a mesh under load.
class PairRun {
public:
  PairRun(Fault First, Fault Second)
      : First(std::move(First)), Second(std::move(Second)),
        TestMesh(pairMesh()) {
    start(TestMesh);
  }

  /// Begins both faults, checks the mesh, ends both and checks that it
  /// recovers. The second fault ends last, so that the nodes recover from the
  /// first one while the second one lasts.
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
    const auto IsDown = [&](const std::vector<InstanceIndex> &DownNodes) {
      return std::find(DownNodes.begin(), DownNodes.end(), Index) !=
             DownNodes.end();
    };
    return !IsDown(Second.DownNodes) &&
           !(FirstActive && IsDown(First.DownNodes));
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

  /// Checks that while faults last, requests are served, no reachable node
  /// admits the withdrawn key, and a domain that is out receives no requests.
  void checkMeanwhile(bool FirstActive) const {
    eventuallyWithin(InForceLimit, "every available entry serves",
                     [&] { return allEntriesServe(FirstActive); });
    if (Second.KeyWithdrawn) {
      for (InstanceIndex Index :
           {HarbourQueue, MarketQueue, HarbourEntry, MarketEntry}) {
        if (isUp(Index, FirstActive))
          eventuallyWithin(InForceLimit, "the withdrawn key is refused", [&] {
            return statusOf(Index, "key-second") == 401;
          });
      }
    }
    if (!Second.DomainOut.empty()) {
      eventuallyWithin(InForceLimit,
                       "the domain that is out receives no requests", [&] {
                         const int Before = runsInDomainOut();
                         pause();
                         return runsInDomainOut() == Before;
                       });
    }
    constexpr int Rounds = 20;
    for (int I = 0; I < Rounds; ++I)
      CHECK_TRUE_TEXT(allEntriesServe(FirstActive),
                      "an entry refused a request after it had served");
  }

  int runsInDomainOut() const {
    int Runs = 0;
    for (const MeshInstance &Instance : TestMesh.Instances)
      if (Instance.Domain == Second.DomainOut)
        Runs += TestMesh.targetStats(Instance)["runs"].get<int>();
    return Runs;
  }

  /// Checks that every node serves and sees every other node alive, with the
  /// same version in force.
  void checkConverged() const {
    eventuallyWithin(InForceLimit, "every node serves", [&] {
      return TestMesh.allServing() && allEntriesServe(false);
    });
    for (const MeshInstance &Instance : TestMesh.Instances)
      eventuallyWithin(RefuteLimit, Instance.Name + " reports a healthy mesh",
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

// Each test starts its own mesh; they run in the long set.
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
