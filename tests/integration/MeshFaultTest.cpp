// Tests of a mesh of real processes behind fault proxies. The outcomes that
// callers receive are checked against the runs that the targets recorded.

#include "integration/MeshFixture.h"

#include "policy/CallSettings.h"
#include "support/ProcessPeak.h"

#include <algorithm>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Mesh;
using standins::MeshInstance;

namespace {

/// Mesh behind proxies, shared by the tests that restore its state.
Mesh &sharedMesh() {
  static const auto Shared = [] {
    standins::MeshOptions Options = smallMesh();
    Options.PeerProxies = true;
    Options.TargetProxies = true;
    auto Started = std::make_unique<Mesh>(Options);
    start(*Started);
    return Started;
  }();
  return *Shared;
}

/// Load that enters at the node of `ledger`, so that every request passes two
/// nodes.
standins::LoadOptions loadOnEntry(const Mesh &TestMesh, unsigned Seed) {
  standins::LoadOptions Load;
  Load.Nodes = {TestMesh.address(TestMesh.Instances[2], Mesh::Callers)};
  Load.Streams = {makeStream("GET", "/queue", 40),
                  makeStream("POST", "/sittings", 40)};
  Load.Seconds = 3;
  Load.Seed = Seed;
  return Load;
}

void sleepMs(int Milliseconds) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Milliseconds));
}

/// Highest memory, in bytes, that any node of the mesh has held.
std::size_t peakMemory(const Mesh &TestMesh) {
  std::size_t Peak = 0;
  for (const MeshInstance &Instance : TestMesh.Instances)
    Peak = std::max(Peak, processPeak(Instance.Node.id()));
  return Peak;
}

void checkGuarantees(const standins::LoadSummary &Sum) {
  CHECK_TRUE_TEXT(guaranteesHold(Sum), describe(Sum).c_str());
}

void checkAllAnswered(const standins::LoadSummary &Sum) {
  checkGuarantees(Sum);
  LONGS_EQUAL_TEXT(Sum.Requests, Sum.InTime, describe(Sum).c_str());
}

} // namespace

TEST_GROUP(MeshFaults){};

// Each test starts its own mesh; they run in the long set.
TEST_GROUP(MeshFaultsAlone){};

TEST(MeshFaults, LostResponsesBetweenNodesAreRequestedAgain) {
  Mesh &TestMesh = sharedMesh();
  BackgroundLoad Running(loadOnEntry(TestMesh, 11));

  for (int Round = 0; Round < 3; ++Round) {
    sleepMs(500);
    for (int I : {0, 1})
      TestMesh.commandPeerProxy(TestMesh.Instances[I], "set?lose_answers=1");
  }

  checkAllAnswered(Running.finish(TestMesh));
}

TEST(MeshFaults, LostTargetResponsesCauseNoSecondRun) {
  Mesh &TestMesh = sharedMesh();
  BackgroundLoad Running(loadOnEntry(TestMesh, 12));

  for (int Round = 0; Round < 4; ++Round) {
    sleepMs(400);
    for (int I : {0, 1})
      TestMesh.commandTargetProxy(TestMesh.Instances[I], "set?lose_answers=1");
  }

  const auto Sum = Running.finish(TestMesh);
  checkGuarantees(Sum);
  // When the response to a non-idempotent request is lost, the only correct
  // outcome is "unknown".
  constexpr std::size_t LostResponses = 8;
  CHECK_TRUE_TEXT(Sum.InTime + LostResponses >= Sum.Requests,
                  describe(Sum).c_str());
}

TEST(MeshFaults, SilentConnectionsDelayButLoseNoResponse) {
  Mesh &TestMesh = sharedMesh();
  BackgroundLoad Running(loadOnEntry(TestMesh, 13));
  sleepMs(1000);

  for (int I : {0, 1})
    TestMesh.commandPeerProxy(TestMesh.Instances[I], "silence");

  checkAllAnswered(Running.finish(TestMesh));
}

TEST(MeshFaults, ConnectionsSilentInOneDirectionLoseNoResponse) {
  Mesh &TestMesh = sharedMesh();
  BackgroundLoad Running(loadOnEntry(TestMesh, 14));
  sleepMs(1000);

  TestMesh.commandPeerProxy(TestMesh.Instances[0], "silence?direction=down");
  TestMesh.commandPeerProxy(TestMesh.Instances[1], "silence?direction=up");

  checkAllAnswered(Running.finish(TestMesh));
}

TEST(MeshFaults, APausedNodeCausesNoSecondRunAndNoFalseOutcome) {
  Mesh &TestMesh = sharedMesh();
  BackgroundLoad Running(loadOnEntry(TestMesh, 15));
  sleepMs(500);

  TestMesh.Instances[0].Node.signal(SIGSTOP);
  sleepMs(3000);
  TestMesh.Instances[0].Node.signal(SIGCONT);

  const auto Sum = Running.finish(TestMesh);
  checkGuarantees(Sum);
  LONGS_EQUAL_TEXT(0, Sum.Broken, describe(Sum).c_str());
}

TEST(MeshFaults, ARequestThatCrashesTargetsIsStopped) {
  Mesh &TestMesh = sharedMesh();
  const auto Crashes = [&] {
    int All = 0;
    for (const MeshInstance &Instance : TestMesh.Instances)
      All += TestMesh.targetStats(Instance)["crashes"].get<int>();
    return All;
  };

  for (int Round = 0; Round < 10; ++Round) {
    TestMesh.request(TestMesh.Instances[2], "GET", "/queue/poison",
                     keyHeaders("key-second", "poison") +
                         "X-Test-Crash: 1\r\n");
    sleepMs(400);
  }

  LONGS_EQUAL(CallSettings().CrashLimit, Crashes());
  eventually("other requests are served", [&] {
    return TestMesh
               .request(TestMesh.Instances[2], "GET", "/queue/other",
                        keyHeaders("key-second", "other"))
               .status() == 200;
  });
}

// Neither the memory of the nodes nor the time of the callers depends on how
// long a target goes on sending.
TEST(MeshFaults, EndlessAnswersEndPromptlyAndTrueToTheirOutcome) {
  Mesh &TestMesh = sharedMesh();
  constexpr std::size_t MaxGrowthBytes = 64 * 1024 * 1024;
  constexpr std::chrono::seconds MaxAnswerTime{4};
  const std::size_t PeakBefore = peakMemory(TestMesh);
  const std::pair<std::string, std::string> Kinds[] = {
      {"none", "unknown"}, {"status", "unknown"}, {"interim", "unknown"},
      {"field", "ran"},    {"body", "ran"},       {"extension", "ran"},
      {"chunks", "ran"},   {"trailer", "ran"},
  };

  for (const auto &[Kind, Outcome] : Kinds) {
    const std::string Mark = "endless-" + Kind;
    const auto SentAt = std::chrono::steady_clock::now();
    const auto Answer = TestMesh.request(TestMesh.Instances[2], "POST",
                                         "/sittings?endless=" + Kind,
                                         keyHeaders("key-first", Mark));

    LONGS_EQUAL_TEXT(502, Answer.status(), Kind.c_str());
    STRCMP_CONTAINS_TEXT(Outcome.c_str(), Answer.Body.c_str(), Kind.c_str());
    CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - SentAt < MaxAnswerTime,
                    Kind.c_str());
    LONGS_EQUAL_TEXT(1, TestMesh.runs().at(Mark), Kind.c_str());
    LONGS_EQUAL(200, TestMesh
                         .request(TestMesh.Instances[2], "POST", "/sittings",
                                  keyHeaders("key-first", "after-" + Kind))
                         .status());
  }

  eventually("the connections are closed", [&] {
    return TestMesh.targetStats(TestMesh.Instances[0])["endless_answers"] ==
               0 &&
           TestMesh.targetStats(TestMesh.Instances[1])["endless_answers"] == 0;
  });
  CHECK(peakMemory(TestMesh) < PeakBefore + MaxGrowthBytes);
}

TEST(MeshFaultsAlone, ATargetThatStartsColdIsNotOverloaded) {
  standins::MeshOptions Options = smallMesh();
  Options.Groups = {{"queue", "harbour", 1, 6}, {"ledger", "market", 1, 6}};
  Options.Intent["20-services.ini"] =
      "[service queue]\nslots = 6\n[service ledger]\nslots = 6\n";
  Options.Intent["10-domains.ini"] =
      "[domain harbour]\nregion = coast\nnodes = 1\n"
      "[domain market]\nregion = coast\nnodes = 1\n";
  Options.ColdMs = 3000;
  Options.LatencyMs = 20;
  Mesh TestMesh(Options);
  start(TestMesh);
  standins::LoadOptions Load;
  Load.Nodes = {TestMesh.address(TestMesh.Instances[1], Mesh::Callers)};
  Load.Streams = {makeStream("GET", "/queue", 150)};
  Load.Seconds = 6;
  BackgroundLoad Running(Load);
  sleepMs(2000);

  TestMesh.targetStats(TestMesh.Instances[0], "restart");

  const auto Sum = Running.finish(TestMesh);
  checkGuarantees(Sum);
  const auto Stats = TestMesh.targetStats(TestMesh.Instances[0]);
  LONGS_EQUAL_TEXT(0, Stats["slot_overloads"].get<int>(), Stats.dump().c_str());
  LONGS_EQUAL_TEXT(0, Stats["cold_overloads"].get<int>(), Stats.dump().c_str());
}

TEST(MeshFaultsAlone, AMeshServesItsLastConfigurationWithoutThePlatform) {
  Mesh TestMesh(smallMesh());
  for (MeshInstance &Instance : TestMesh.Instances) {
    TestMesh.startTarget(Instance);
    TestMesh.startNode(Instance);
  }
  const auto Status = [&] {
    return TestMesh
        .request(TestMesh.Instances[2], "GET", "/queue",
                 keyHeaders("key-first", "p"))
        .status();
  };
  eventually("the node responds", [&] { return Status() != 0; });
  LONGS_EQUAL(503, Status());

  TestMesh.startPlatform();

  eventually("every node serves", [&] { return TestMesh.allServing(); });
  eventually("requests are served", [&] { return Status() == 200; });
  TestMesh.Platform.end();
  sleepMs(3000);
  for (int I = 0; I < 20; ++I)
    LONGS_EQUAL(200, Status());
}

TEST(MeshFaultsAlone, AnEmptyNodeSlotDoesNotStarveAnOrganisation) {
  standins::MeshOptions Options = smallMesh();
  Options.Intent["10-domains.ini"] =
      "[domain harbour]\nregion = coast\nnodes = 2\n"
      "[domain market]\nregion = coast\nnodes = 2\n";
  Mesh TestMesh(Options);

  start(TestMesh);

  LONGS_EQUAL(200, TestMesh
                       .request(TestMesh.Instances[0], "GET", "/queue",
                                keyHeaders("key-first", "empty"))
                       .status());
}
