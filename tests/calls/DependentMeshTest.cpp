// Many targets whose runs call one service that is short of room, in a mesh
// without organisations and in virtual time.

#include "calls/MeshFixture.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::size_t Callers = 30;
constexpr std::uint32_t CalledSlots = 18;
constexpr std::uint32_t ShortSlots = 6;
constexpr double LookupMs = 40;

/// Lookups of a run, one after the other, and the share of runs that make them.
constexpr int LookupsPerRun = 2;
constexpr double LookupShare = 0.7;

/// Lookups and reads per second that the short service can serve.
constexpr double ShortLookups = ShortSlots * 1000 / LookupMs;
constexpr double ShortReads = ShortLookups / (LookupsPerRun * LookupShare);

/// A link that carries large answers of that many lookups, and messages about
/// them of some 300 bytes each.
constexpr std::size_t LargeBytes = 12'200;
constexpr std::uint64_t LinkBytesPerMs = 1875;
constexpr double LinkMbps = 15;

SnapshotPtr makeDependentConfig(std::uint32_t Slots) {
  Snapshot Config = makeConfig();
  Config.Organisations.clear();
  Config.Services["front"] = {"front", 6};
  Config.Services["studio"] = {"studio", Slots};
  Route Each = Config.Routes.front();
  Config.Routes.clear();
  Each.Access = RouteAccess::Open;
  for (const char *Name : {"read", "page", "lookup"}) {
    Each.Name = Name;
    const bool IsInner = Each.Name == "lookup";
    Each.Service = IsInner ? "studio" : "front";
    Each.Timeout = DurationMs(IsInner ? 500 : 2500);
    Config.Routes.push_back(Each);
  }
  return std::make_shared<const Snapshot>(std::move(Config));
}

/// What happened to the requests of a route that ended in a span of time.
struct RouteCounts {
  int Ended = 0;
  int Succeeded = 0;
  int Refused = 0;  ///< As DependencyShort.
  int Runs = 0;     ///< That ended at a target.
  int LostRuns = 0; ///< Of them, by a lost lookup.

  double lostShare() const { return Runs == 0 ? 0 : double(LostRuns) / Runs; }
  double refusedShare() const { return double(Refused) / Ended; }
};

} // namespace

TEST_GROUP(DependentMesh) {
  CallSettings Settings;
  FakeNetworkOptions Network;
  FakeTargetOptions Called;
  std::unique_ptr<FakeCallMesh> Mesh;
  std::mt19937_64 Random{11};
  std::map<std::string, RouteCounts> Counts; ///< Of the last offer.
  std::size_t Reported = 0;                  ///< Events 1518 and 1519.

  void setup() override {
    Settings.Admission = AdmissionMode::Slots;
    Settings.Dependent = DependentMode::On;
    Called.Slots = CalledSlots;
    Called.MeanMs = LookupMs;
  }

  void startMesh(std::size_t CalledTargets, std::uint32_t Slots) {
    Mesh = std::make_unique<FakeCallMesh>(5, Settings, Network);
    Mesh->Scheme.ChildIdSeparator = '.';
    Mesh->OnEvent = [this](std::size_t, const Event &Each) {
      if (Each.Id == EventId::DependentLimited ||
          Each.Id == EventId::DependentRestored)
        ++Reported;
    };
    FakeTargetOptions Front;
    Front.MeanMs = 80;
    for (std::size_t I = 0; I < Callers; ++I) {
      Mesh->addNode("north/front-" + std::to_string(I), "north", "front",
                    Front);
      Mesh->Nodes[I]->Target->MakeInnerCalls =
          [this, I](const CallRequest &Parent,
                    const std::function<void(bool)> &End) {
            makeLookups(I, Parent, End);
          };
    }
    for (std::size_t I = 0; I < CalledTargets; ++I)
      Mesh->addNode("east/studio-" + std::to_string(I), "east", "studio",
                    Called);
    Mesh->setSnapshot(makeDependentConfig(Slots));
    Mesh->publishInstances();
    Mesh->runFor(20 * SecondUs);
  }

  CallRequest requestOf(const std::string &Name, const std::string &Id) {
    CallRequest Request = makeRequest(Id, true);
    const Route &Matched = *Mesh->Config->findRouteByName(Name);
    Request.Organisation.clear();
    Request.Priority = callPriority(0, 0);
    Request.Route = Name;
    Request.Service = Matched.Service;
    Request.Remaining = Matched.Timeout;
    Request.Headers.push_back({HeaderScheme().RequestId, Id});
    return Request;
  }

  void makeLookups(std::size_t At, const CallRequest &Parent,
                   const std::function<void(bool)> &End) {
    std::bernoulli_distribution MakesCalls(Parent.Route == "read" ? LookupShare
                                                                  : 0);
    makeLookup(At, Parent.Body, MakesCalls(Random) ? LookupsPerRun : 0,
               [this, End, Route = Parent.Route](bool Succeeded) {
                 ++Counts[Route].Runs;
                 Counts[Route].LostRuns += Succeeded ? 0 : 1;
                 End(Succeeded);
               });
  }

  void makeLookup(std::size_t At, const std::string &Parent, int Left,
                  const std::function<void(bool)> &End) {
    if (Left == 0)
      return End(true);
    Mesh->submit(At, requestOf("lookup", Parent + "." + std::to_string(Left)),
                 [this, At, Parent, Left, End](const FakeCall &Ended) {
                   if (Ended.Answer.Status == 200)
                     makeLookup(At, Parent, Left - 1, End);
                   else
                     End(false);
                 });
  }

  void submit(const std::string &Route) {
    Mesh->submit(
        Random() % Callers, requestOf(Route, Route + std::to_string(Random())),
        [this, Route](const FakeCall &Ended) {
          RouteCounts &Counted = Counts[Route];
          ++Counted.Ended;
          Counted.Succeeded += Ended.Answer.Status == 200 ? 1 : 0;
          Counted.Refused += Ended.Answer.Reason == ResultCode::DependencyShort;
        });
  }

  /// Offers reads at twice the rate that the short service can serve,
  /// and a page for each tenth read.
  RouteCounts offer(std::int64_t SpanUs) {
    Counts.clear();
    std::exponential_distribution<double> Gap(2 * ShortReads);
    const std::int64_t UntilUs = Mesh->Time.nowUs() + SpanUs;
    while (Mesh->Time.nowUs() < UntilUs) {
      submit("read");
      if (Random() % 10 == 0)
        submit("page");
      Mesh->runFor(static_cast<std::int64_t>(Gap(Random) * SecondUs));
    }
    return Counts["read"];
  }

  /// Checks a shortage of twelve seconds at twice the load that the short
  /// service can serve. Returns the share of runs that are lost in it.
  double checkShortage(const std::function<void(bool)> &SetShort) {
    LONGS_EQUAL(0, offer(5 * SecondUs).Refused);

    SetShort(true);
    // Runs that were admitted before the shortage is noticed are lost.
    const RouteCounts Onset = offer(2 * SecondUs);
    CHECK_COMPARE(Onset.lostShare(), <, 0.3);
    const RouteCounts During = offer(10 * SecondUs);
    CHECK_COMPARE(During.Succeeded / (ShortReads * 10), >=, 0.9);
    CHECK_COMPARE(During.lostShare(), <, 0.05);
    LONGS_EQUAL(Counts["page"].Ended, Counts["page"].Succeeded);

    SetShort(false);
    offer(2 * SecondUs);
    const RouteCounts After = offer(3 * SecondUs);
    CHECK_COMPARE(After.refusedShare(), <, 0.01);
    CHECK_COMPARE(After.Succeeded, >=, 0.99 * After.Ended);
    CHECK_COMPARE(Reported, >=, 2);
    CHECK_COMPARE(Reported, <=, 2 * Callers * 17 / 2);
    return double(Onset.LostRuns + During.LostRuns) /
           (Onset.Runs + During.Runs);
  }

  double checkShortageOfSlots() {
    startMesh(1, CalledSlots);
    return checkShortage([this](bool IsShort) {
      Mesh->setSnapshot(
          makeDependentConfig(IsShort ? ShortSlots : CalledSlots));
    });
  }
};

// Guards against runs that hold a slot and lose a lookup for lack of slots.
TEST(DependentMesh, AdmitsWhatTheSlotsOfTheCalledServiceSustain) {
  checkShortageOfSlots();
}

// Guards against many lost runs before the shortage is noticed.
TEST(DependentMesh, LosesFewRunsFromTheOnsetOfAShortageOfSlots) {
  CHECK_COMPARE(checkShortageOfSlots(), <, 0.05);
}

// Guards against runs that lose a lookup whose answer waits for the link.
TEST(DependentMesh, AdmitsWhatTheLinkOfTheCalledServiceSustains) {
  Network.LinkBytesPerMs = LinkBytesPerMs;
  Settings.LinkMbps = LinkMbps;
  startMesh(1, CalledSlots);

  const double Lost = checkShortage([this](bool IsShort) {
    Mesh->Nodes[Callers]->Target->setPadding("lookup",
                                             IsShort ? LargeBytes : 0);
  });
  CHECK_COMPARE(Lost, <, 0.05);
}

// Guards against a calling service that stops since one of the nodes that it
// calls is silent.
TEST(DependentMesh, SilentNodeOfTheCalledServiceStopsNoReads) {
  startMesh(3, CalledSlots);
  offer(5 * SecondUs);

  Mesh->pauseNode(Callers, 6 * SecondUs);
  const double Refused = offer(6 * SecondUs).refusedShare();

  CHECK_COMPARE(Refused, <, 0.02);
}
