#include "support/Property.h"

#include "calls/MeshFixture.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(TargetRuns){};

// A target that restarts before the probe reaches it looks healthy. Its crash
// is detected by the other runs that it lost.
TEST(TargetRuns, QuarantinesARequestWhoseTargetsRestartImmediately) {
  FakeTargetOptions QuickRestart;
  QuickRestart.RestartUs = 0;
  QuickRestart.ColdUs = 0;
  QuickRestart.MeanMs = 50;
  auto Mesh = makeMesh(11, {}, {}, 1, QuickRestart);

  for (int I = 0; I < 600; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 makeRequest(I % 100 == 50 ? CrashBody : "tag", true));
    Mesh->runFor(5'000);
  }
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(CallSettings().CrashLimit, crashCount(*Mesh));
}

TEST(TargetRuns, LostConnectionsToHealthyTargetsQuarantineNoRequest) {
  checkProperty("a lost connection is not a crash", [] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Mesh = makeMesh(Seed, {}, {});
    std::mt19937_64 Random(Seed);

    for (int I = 0; I < 300; ++I) {
      Mesh->submit(static_cast<std::size_t>(I) % 3, makeRequest("same", true));
      if (I % 10 == 0)
        for (const auto &Node : Mesh->Nodes)
          Node->Target->loseConnection();
      Mesh->runFor(static_cast<std::int64_t>(Random() % 10'000));
    }
    Mesh->runFor(5 * SecondUs);

    for (const FakeCall &Call : Mesh->Calls)
      RC_ASSERT(Call.Answer.Reason != ResultCode::RequestCrashesTargets);
  });
}
