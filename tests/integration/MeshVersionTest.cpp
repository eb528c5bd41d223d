// Tests of configuration versions on a mesh of real processes, with a platform
// that is unavailable or serves stale or inconsistent content, and with
// isolated failure domains. The versions that a process had in force are read
// from its timeline.

#include "integration/MeshFixture.h"

#include "operators/StampedEvent.h"

#include <algorithm>
#include <set>
#include <sstream>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Mesh;
using standins::MeshInstance;

namespace {

/// Platform reads per second and process with the default settings: 2,000 /
/// 1,200, rounded down.
constexpr int ReadsPerSecondAndNode = 1;

/// Limit of a node's control traffic, and the time over which it is measured.
constexpr double ControlBytesPerSecond = 3000;
constexpr int CountedSeconds = 10;

/// Time within which a version has to be in force.
constexpr std::chrono::seconds InForceLimit{15};

/// Time after a start at which a node accepts the source without its peers.
constexpr std::chrono::seconds StartDeadline{5};

constexpr const char *ChangedFile = "60-change.ini";

standins::MeshOptions versionMesh() {
  standins::MeshOptions Options = smallMesh();
  // Two nodes of a domain read the platform, so in the domain of three nodes
  // the third one never does.
  Options.Groups = {{"queue", "harbour", 3, 4}, {"queue", "market", 2, 4}};
  Options.Intent["10-domains.ini"] =
      "[domain harbour]\nregion = coast\nnodes = 3\n"
      "[domain market]\nregion = coast\nnodes = 2\n";
  Options.PeerProxies = Options.PlatformProxies = Options.Seeds = true;
  return Options;
}

std::vector<Event> eventsOf(const Mesh &TestMesh, const MeshInstance &Instance,
                            EventId Kind) {
  std::vector<Event> Found;
  std::istringstream Lines(TestMesh.page(Instance, "/timeline"));
  for (std::string Line; std::getline(Lines, Line);)
    if (const auto Read = fromJsonLine(Line);
        Read && Read->Occurrence.Id == Kind)
      Found.push_back(Read->Occurrence);
  return Found;
}

/// The revisions that events of a node's current process name, in order.
std::vector<std::uint64_t>
revisionsOf(const Mesh &TestMesh, const MeshInstance &Instance, EventId Kind) {
  std::vector<std::uint64_t> Revisions;
  for (const Event &Found : eventsOf(TestMesh, Instance, Kind))
    Revisions.push_back(std::stoull(std::string(fieldValue(Found, "version"))));
  return Revisions;
}

/// The revisions that the current process of a node has had in force.
std::vector<std::uint64_t> history(const Mesh &TestMesh,
                                   const MeshInstance &Instance) {
  return revisionsOf(TestMesh, Instance, EventId::VersionInForce);
}

/// The revisions that the current process of a node has read from the platform.
std::vector<std::uint64_t> platformReads(const Mesh &TestMesh,
                                         const MeshInstance &Instance) {
  return revisionsOf(TestMesh, Instance, EventId::PlatformVersionRead);
}

void checkRevisionsNeverDecrease(const Mesh &TestMesh) {
  for (const MeshInstance &Instance : TestMesh.Instances) {
    const auto Revisions = history(TestMesh, Instance);
    CHECK_TRUE_TEXT(std::is_sorted(Revisions.begin(), Revisions.end()),
                    Instance.Name.c_str());
  }
}

bool hasInForce(const Mesh &TestMesh, const MeshInstance &Instance,
                std::uint64_t Revision) {
  const auto Revisions = history(TestMesh, Instance);
  return !Revisions.empty() && Revisions.back() == Revision;
}

void awaitInForce(const Mesh &TestMesh, std::uint64_t Revision,
                  const std::string &Domain = "") {
  for (const MeshInstance &Instance : TestMesh.Instances) {
    if (Domain.empty() || Instance.Domain == Domain) {
      eventually(
          Instance.Name + " has " + std::to_string(Revision) + " in force",
          [&] { return hasInForce(TestMesh, Instance, Revision); },
          InForceLimit);
    }
  }
}

std::uint64_t published(const Mesh &TestMesh) {
  return TestMesh.platform("stats")["revision"].get<std::uint64_t>();
}

/// Publishes a change and returns its revision once the platform serves it.
std::uint64_t publish(const Mesh &TestMesh, const std::string &Text) {
  const std::uint64_t Before = published(TestMesh);
  TestMesh.writeIntent(ChangedFile, Text);
  eventually("the platform serves the change",
             [&] { return published(TestMesh) > Before; });
  return published(TestMesh);
}

std::string rateOf(int PerSecond) {
  return "[rate small]\nburst = 9\nper_second = " + std::to_string(PerSecond) +
         "\n";
}

int requestStatus(const Mesh &TestMesh, const MeshInstance &Entry) {
  return TestMesh.request(Entry, "GET", "/queue", keyHeaders("key-first", "v"))
      .status();
}

/// Bytes of configuration and membership messages, in both directions.
double controlBytes(const Mesh &TestMesh, const MeshInstance &Instance) {
  double Sum = 0;
  std::istringstream Lines(TestMesh.page(Instance, "/metrics"));
  for (std::string Line; std::getline(Lines, Line);) {
    if (!Line.starts_with("fescuewood_peer_bytes_total"))
      continue;
    for (const char *Kind : {"kind=\"0\"", "kind=\"1\"", "kind=\"2\""}) {
      if (Line.find(Kind) != std::string::npos)
        Sum += std::stod(Line.substr(Line.rfind(' ')));
    }
  }
  return Sum;
}

/// Checks the peak rate of platform reads since the counters were reset.
void checkReadRate(const Mesh &TestMesh) {
  const auto Stats = TestMesh.platform("stats");
  CHECK_TRUE_TEXT(Stats["peak_per_second"].get<int>() <=
                      ReadsPerSecondAndNode *
                          static_cast<int>(TestMesh.Instances.size()),
                  Stats.dump().c_str());
}

void sleepSeconds(int Seconds) {
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
}

} // namespace

// Each test starts its own mesh; they run in the long set.
TEST_GROUP(MeshVersionsAlone) {
  Mesh TestMesh{versionMesh()};
  std::uint64_t First = 0;

  void setup() override {
    start(TestMesh);
    First = published(TestMesh);
  }

  /// Puts a newer version in force on all nodes, then makes the platform serve
  /// only the first one. Returns the newer revision.
  std::uint64_t makeStale() {
    const std::uint64_t Newest = publish(TestMesh, rateOf(2));
    awaitInForce(TestMesh, Newest);
    TestMesh.platform("control?stale=" + std::to_string(First));
    return Newest;
  }

  void restart(const std::vector<std::size_t> &Indices) {
    for (const std::size_t I : Indices)
      TestMesh.Instances[I].Node.end();
    for (const std::size_t I : Indices)
      TestMesh.startNode(TestMesh.Instances[I]);
  }
};

TEST(MeshVersionsAlone,
     ARestartedNodePrefersTheNewestVersionOfItsPeersToAStaleSource) {
  const std::uint64_t Newest = makeStale();

  for (const std::size_t I : {0UL, 4UL}) {
    const MeshInstance &Instance = TestMesh.Instances[I];
    // For a while the node is to reach the platform but no peer.
    TestMesh.partitionNodes(
        [&](const MeshInstance &Other) { return Other.Name == Instance.Name; });
    restart({I});
    eventually(
        "the isolated node has read the stale version",
        [&] { return !platformReads(TestMesh, Instance).empty(); },
        StartDeadline);
    LONGS_EQUAL(First, platformReads(TestMesh, Instance).front());
    CHECK(TestMesh.partitionedConnections() > 0);
    CHECK(history(TestMesh, Instance).empty());
    TestMesh.partition("");
    awaitInForce(TestMesh, Newest);
    LONGS_EQUAL(Newest, history(TestMesh, Instance).front());
  }
  restart({0, 1, 2, 4});

  awaitInForce(TestMesh, Newest);
  for (const MeshInstance &Instance : TestMesh.Instances)
    CHECK(history(TestMesh, Instance).front() ==
          (&Instance == &TestMesh.Instances[3] ? First : Newest));
  checkRevisionsNeverDecrease(TestMesh);
}

TEST(MeshVersionsAlone,
     AnInvalidVersionIsRefusedWithFileAndLineAndNotPropagated) {
  const std::uint64_t InvalidRevision =
      publish(TestMesh, "[route lost]\nmethod = GET\npath = /lost\n"
                        "service = nowhere\n");
  const auto Refusals = [&](const MeshInstance &Instance) {
    return eventsOf(TestMesh, Instance, EventId::VersionRefused);
  };
  eventually("a reader refuses the version", [&] {
    return !Refusals(TestMesh.Instances[0]).empty() ||
           !Refusals(TestMesh.Instances[1]).empty();
  });
  sleepSeconds(3);

  std::size_t Refusers = 0;
  for (const MeshInstance &Instance : TestMesh.Instances) {
    CHECK(hasInForce(TestMesh, Instance, First));
    LONGS_EQUAL(200, requestStatus(TestMesh, Instance));
    // If a node announced a refused version, its peers would try to fetch it.
    CHECK(eventsOf(TestMesh, Instance, EventId::VersionFetchFailed).empty());
    for (const Event &Refused : Refusals(Instance)) {
      ++Refusers;
      STRCMP_CONTAINS("60-change.ini:4",
                      std::string(fieldValue(Refused, "reason")).c_str());
      STRCMP_EQUAL("source", std::string(fieldValue(Refused, "node")).c_str());
      LONGS_EQUAL(InvalidRevision,
                  std::stoull(std::string(fieldValue(Refused, "version"))));
    }
  }
  // Only the readers, two per domain, have received the version.
  CHECK(Refusers >= 1 && Refusers <= 4);
  awaitInForce(TestMesh, publish(TestMesh, rateOf(3)));
}

TEST(MeshVersionsAlone, ATornReadIsNotAppliedAndTheNextConsistentOneIs) {
  TestMesh.platform("control?torn=1");
  const std::uint64_t TornRevision = publish(TestMesh, rateOf(2));
  const auto Failed = [&] {
    std::size_t Count = 0;
    for (const MeshInstance &Instance : TestMesh.Instances) {
      for (const Event &Read :
           eventsOf(TestMesh, Instance, EventId::PlatformReadFailed)) {
        const std::string Reason(fieldValue(Read, "reason"));
        Count += Reason.starts_with("PlatformTorn") ? 1 : 0;
      }
    }
    return Count;
  };
  eventually("torn reads are reported", [&] { return Failed() >= 2; });
  sleepSeconds(3);
  for (const MeshInstance &Instance : TestMesh.Instances)
    CHECK(hasInForce(TestMesh, Instance, First));

  TestMesh.platform("control?torn=0");

  awaitInForce(TestMesh, TornRevision);
}

TEST(MeshVersionsAlone,
     AnIsolatedDomainKeepsServingAndConvergesWithoutATrafficBurst) {
  const MeshInstance &IsolatedInstance = TestMesh.Instances[3];
  TestMesh.isolateDomain("market", true);
  const std::uint64_t NewRevision = publish(TestMesh, rateOf(2));
  awaitInForce(TestMesh, NewRevision, "harbour");
  for (int I = 0; I < CountedSeconds; ++I) {
    sleepSeconds(1);
    CHECK(hasInForce(TestMesh, IsolatedInstance, First));
    LONGS_EQUAL(200, requestStatus(TestMesh, IsolatedInstance));
  }
  const auto Bytes = [&] {
    std::vector<double> Counts;
    for (const MeshInstance &Instance : TestMesh.Instances)
      Counts.push_back(controlBytes(TestMesh, Instance));
    return Counts;
  };
  TestMesh.platform("stats?reset=1");
  const std::vector<double> Before = Bytes();

  TestMesh.isolateDomain("market", false);

  awaitInForce(TestMesh, NewRevision);
  sleepSeconds(CountedSeconds);
  const std::vector<double> After = Bytes();
  for (std::size_t I = 0; I < Before.size(); ++I)
    CHECK_TRUE_TEXT(After[I] - Before[I] <=
                        ControlBytesPerSecond * CountedSeconds,
                    std::to_string(After[I] - Before[I]).c_str());
  checkReadRate(TestMesh);
  checkRevisionsNeverDecrease(TestMesh);
}

TEST(MeshVersionsAlone, ConflictingContentsOfARevisionAreReportedAndOneIsKept) {
  TestMesh.platform("control?twin=1");
  const auto ConflictReported = [&] {
    return std::any_of(TestMesh.Instances.begin(), TestMesh.Instances.end(),
                       [&](const auto &Instance) {
                         return !eventsOf(TestMesh, Instance,
                                          EventId::VersionConflict)
                                     .empty();
                       });
  };

  eventually("the conflict is reported", ConflictReported, InForceLimit);
  TestMesh.platform("stats?reset=1");
  sleepSeconds(CountedSeconds);

  std::set<std::string> Kept;
  for (const MeshInstance &Instance : TestMesh.Instances)
    Kept.insert(std::string(
        fieldValue(eventsOf(TestMesh, Instance, EventId::VersionInForce).back(),
                   "version")));
  LONGS_EQUAL(1, Kept.size());
  checkReadRate(TestMesh);
}

// When no process remembers a version, the guarantees are those described in
// VersionKeeper.h.
TEST(MeshVersionsAlone,
     AFleetRestartedWithoutItsSourceWaitsForAVersionAndAdvances) {
  const std::uint64_t Newest = makeStale();
  TestMesh.platform("control?out=1");
  restart({0, 1, 3, 4});
  awaitInForce(TestMesh,
               Newest); // The only node that was not restarted passes it on.

  restart({0, 1, 2, 3, 4});
  sleepSeconds(8);
  for (const MeshInstance &Instance : TestMesh.Instances) {
    CHECK(history(TestMesh, Instance).empty());
    LONGS_EQUAL(503, requestStatus(TestMesh, Instance));
  }
  TestMesh.platform("control?out=0");
  awaitInForce(TestMesh, First);
  TestMesh.platform("control?stale=0");

  awaitInForce(TestMesh, Newest);
  checkRevisionsNeverDecrease(TestMesh);
}
