// Versions of the configuration under failures: real processes, a platform that
// is stale, out or torn, and failure domains that are cut off. What each
// process had in force is read from its time line.

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

/// Reads of the platform in any second, by the default settings: each process
/// may make 2,000 / 1,200 of them, rounded down.
constexpr int ReadsPerSecondAndNode = 1;

/// Control bytes that a node may spend, and the time over which they count.
constexpr double ControlBytesPerSecond = 3000;
constexpr int CountedSeconds = 10;

/// Time in which a version has to be in force.
constexpr std::chrono::seconds InForceWithin{15};

constexpr const char *ChangedFile = "60-change.ini";

standins::MeshOptions versionMesh() {
  standins::MeshOptions Options = smallMesh();
  // Three in one domain: two of them read the platform, the third never does.
  Options.Groups = {{"queue", "harbour", 3, 4}, {"queue", "market", 2, 4}};
  Options.Intent["10-domains.ini"] =
      "[domain harbour]\nregion = coast\nnodes = 3\n"
      "[domain market]\nregion = coast\nnodes = 2\n";
  Options.PeerProxies = Options.PlatformProxies = Options.Seeds = true;
  return Options;
}

std::vector<Event> eventsOf(const Mesh &Whole, const MeshInstance &Of,
                            EventId Kind) {
  std::vector<Event> Found;
  std::istringstream Lines(Whole.page(Of, "/timeline"));
  for (std::string Line; std::getline(Lines, Line);)
    if (const auto Read = fromJsonLine(Line);
        Read && Read->Occurrence.Id == Kind)
      Found.push_back(Read->Occurrence);
  return Found;
}

/// The revisions that the present process of a node had in force, in order.
std::vector<std::uint64_t> history(const Mesh &Whole, const MeshInstance &Of) {
  std::vector<std::uint64_t> Revisions;
  for (const Event &Each : eventsOf(Whole, Of, EventId::VersionInForce))
    Revisions.push_back(std::stoull(std::string(fieldValue(Each, "version"))));
  return Revisions;
}

void checkNeverBack(const Mesh &Whole) {
  for (const MeshInstance &Each : Whole.Instances) {
    const auto Revisions = history(Whole, Each);
    CHECK_TRUE_TEXT(std::is_sorted(Revisions.begin(), Revisions.end()),
                    Each.Name.c_str());
  }
}

bool holds(const Mesh &Whole, const MeshInstance &Each, std::uint64_t Wanted) {
  const auto Revisions = history(Whole, Each);
  return !Revisions.empty() && Revisions.back() == Wanted;
}

void awaitInForce(const Mesh &Whole, std::uint64_t Wanted,
                  const std::string &Domain = "") {
  for (const MeshInstance &Each : Whole.Instances) {
    if (Domain.empty() || Each.Domain == Domain)
      eventually(
          Each.Name + " has " + std::to_string(Wanted) + " in force",
          [&] { return holds(Whole, Each, Wanted); }, InForceWithin);
  }
}

std::uint64_t published(const Mesh &Whole) {
  return Whole.platform("stats")["revision"].get<std::uint64_t>();
}

/// Publishes a change and returns its revision once the platform shows it.
std::uint64_t publish(const Mesh &Whole, const std::string &Text) {
  const std::uint64_t Before = published(Whole);
  Whole.writeIntent(ChangedFile, Text);
  eventually("published", [&] { return published(Whole) > Before; });
  return published(Whole);
}

std::string rateOf(int PerSecond) {
  return "[rate small]\nburst = 9\nper_second = " + std::to_string(PerSecond) +
         "\n";
}

int askedAt(const Mesh &Whole, const MeshInstance &Entry) {
  return Whole.request(Entry, "GET", "/queue", shownKey("key-first", "v"))
      .status();
}

/// Bytes of the messages about configuration and members, both directions.
double controlBytes(const Mesh &Whole, const MeshInstance &Of) {
  double Sum = 0;
  std::istringstream Lines(Whole.page(Of, "/metrics"));
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

/// Since the counts were reset.
void checkReadsInside(const Mesh &Whole) {
  const auto Stats = Whole.platform("stats");
  CHECK_TRUE_TEXT(Stats["peak_per_second"].get<int>() <=
                      ReadsPerSecondAndNode *
                          static_cast<int>(Whole.Instances.size()),
                  Stats.dump().c_str());
}

void sleepSeconds(int Seconds) {
  std::this_thread::sleep_for(std::chrono::seconds(Seconds));
}

} // namespace

// Each of these needs a mesh of its own; they run in the long set.
TEST_GROUP(MeshVersionsAlone) {
  Mesh Whole{versionMesh()};
  std::uint64_t First = 0;

  void setup() override {
    start(Whole);
    First = published(Whole);
  }

  /// Makes the platform answer with the first version from now on, and the
  /// nodes hold a newer one, which is returned.
  std::uint64_t makeStale() {
    const std::uint64_t Newest = publish(Whole, rateOf(2));
    awaitInForce(Whole, Newest);
    Whole.platform("control?stale=" + std::to_string(First));
    return Newest;
  }

  void restart(const std::vector<std::size_t> &Which) {
    for (const std::size_t I : Which)
      Whole.Instances[I].Node.end();
    for (const std::size_t I : Which)
      Whole.startNode(Whole.Instances[I]);
  }
};

TEST(MeshVersionsAlone,
     ARestartedNodeTakesTheNewestFromPeersBeforeAStaleSource) {
  const std::uint64_t Newest = makeStale();

  for (const std::size_t I : {0UL, 4UL}) {
    MeshInstance &Each = Whole.Instances[I];
    // For a while it reaches the platform and no peer.
    for (const MeshInstance &Other : Whole.Instances)
      Whole.disturbPeers(Other, "set?cut_from=" + Each.Ip);
    restart({I});
    sleepSeconds(3);
    for (const MeshInstance &Other : Whole.Instances)
      Whole.disturbPeers(Other, "set?cut_from=");
    awaitInForce(Whole, Newest);
    LONGS_EQUAL(Newest, history(Whole, Each).front());
  }
  restart({0, 1, 2, 4});

  awaitInForce(Whole, Newest);
  for (const MeshInstance &Each : Whole.Instances)
    CHECK(history(Whole, Each).front() ==
          (&Each == &Whole.Instances[3] ? First : Newest));
  checkNeverBack(Whole);
}

TEST(MeshVersionsAlone, ABadVersionIsRefusedWithFileAndLineAndNotPassedOn) {
  const std::uint64_t Bad =
      publish(Whole, "[route lost]\nmethod = GET\npath = /lost\n"
                     "service = nowhere\n");
  const auto Refusals = [&](const MeshInstance &Each) {
    return eventsOf(Whole, Each, EventId::VersionRefused);
  };
  eventually("a reader refuses", [&] {
    return !Refusals(Whole.Instances[0]).empty() ||
           !Refusals(Whole.Instances[1]).empty();
  });
  sleepSeconds(3);

  std::size_t Refusers = 0;
  for (const MeshInstance &Each : Whole.Instances) {
    CHECK(holds(Whole, Each, First));
    LONGS_EQUAL(200, askedAt(Whole, Each));
    // A node that announced what it refused would be asked for it.
    CHECK(eventsOf(Whole, Each, EventId::VersionFetchFailed).empty());
    for (const Event &Refused : Refusals(Each)) {
      ++Refusers;
      STRCMP_CONTAINS("60-change.ini:4",
                      std::string(fieldValue(Refused, "reason")).c_str());
      STRCMP_EQUAL("source", std::string(fieldValue(Refused, "node")).c_str());
      LONGS_EQUAL(Bad,
                  std::stoull(std::string(fieldValue(Refused, "version"))));
    }
  }
  // Two readers in each domain, and none of the others ever saw it.
  CHECK(Refusers >= 1 && Refusers <= 4);
  awaitInForce(Whole, publish(Whole, rateOf(3)));
}

TEST(MeshVersionsAlone, ATornReadIsNotAppliedAndTheNextWholeOneIs) {
  Whole.platform("control?torn=1");
  const std::uint64_t Torn = publish(Whole, rateOf(2));
  const auto Failed = [&] {
    std::size_t Count = 0;
    for (const MeshInstance &Each : Whole.Instances) {
      for (const Event &Read :
           eventsOf(Whole, Each, EventId::PlatformReadFailed)) {
        const std::string Reason(fieldValue(Read, "reason"));
        Count += Reason.starts_with("PlatformTorn") ? 1 : 0;
      }
    }
    return Count;
  };
  eventually("torn reads", [&] { return Failed() >= 2; });
  sleepSeconds(3);
  for (const MeshInstance &Each : Whole.Instances)
    CHECK(holds(Whole, Each, First));

  Whole.platform("control?torn=0");

  awaitInForce(Whole, Torn);
}

TEST(MeshVersionsAlone, ACutOffDomainServesOnAndConvergesWithoutAStorm) {
  const MeshInstance &Inside = Whole.Instances[3];
  Whole.cutDomain("market", true);
  const std::uint64_t Missed = publish(Whole, rateOf(2));
  awaitInForce(Whole, Missed, "harbour");
  for (int I = 0; I < CountedSeconds; ++I) {
    sleepSeconds(1);
    CHECK(holds(Whole, Inside, First));
    LONGS_EQUAL(200, askedAt(Whole, Inside));
  }
  const auto Bytes = [&] {
    std::vector<double> Each;
    for (const MeshInstance &Of : Whole.Instances)
      Each.push_back(controlBytes(Whole, Of));
    return Each;
  };
  Whole.platform("stats?reset=1");
  const std::vector<double> Before = Bytes();

  Whole.cutDomain("market", false);

  awaitInForce(Whole, Missed);
  sleepSeconds(CountedSeconds);
  const std::vector<double> After = Bytes();
  for (std::size_t I = 0; I < Before.size(); ++I)
    CHECK_TRUE_TEXT(After[I] - Before[I] <=
                        ControlBytesPerSecond * CountedSeconds,
                    std::to_string(After[I] - Before[I]).c_str());
  checkReadsInside(Whole);
  checkNeverBack(Whole);
}

TEST(MeshVersionsAlone, TwoContentsUnderOneRevisionAreNoticedAndOneIsKept) {
  Whole.platform("control?twin=1");
  const auto Noticed = [&] {
    return std::any_of(
        Whole.Instances.begin(), Whole.Instances.end(), [&](const auto &Each) {
          return !eventsOf(Whole, Each, EventId::VersionConflict).empty();
        });
  };

  eventually("noticed", Noticed, InForceWithin);
  Whole.platform("stats?reset=1");
  sleepSeconds(CountedSeconds);

  std::set<std::string> Kept;
  for (const MeshInstance &Each : Whole.Instances)
    Kept.insert(std::string(fieldValue(
        eventsOf(Whole, Each, EventId::VersionInForce).back(), "version")));
  LONGS_EQUAL(1, Kept.size());
  checkReadsInside(Whole);
}

// What is promised when nothing remembers: see VersionKeeper.h.
TEST(MeshVersionsAlone,
     AWholeFleetRestartedWithoutItsSourceWaitsAndGoesForward) {
  const std::uint64_t Newest = makeStale();
  Whole.platform("control?out=1");
  restart({0, 1, 3, 4});
  awaitInForce(Whole, Newest); // One survivor has carried it.

  restart({0, 1, 2, 3, 4});
  sleepSeconds(8);
  for (const MeshInstance &Each : Whole.Instances) {
    CHECK(history(Whole, Each).empty());
    LONGS_EQUAL(503, askedAt(Whole, Each));
  }
  Whole.platform("control?out=0");
  awaitInForce(Whole, First);
  Whole.platform("control?stale=0");

  awaitInForce(Whole, Newest);
  checkNeverBack(Whole);
}
