#include "support/Property.h"

#include "calls/MeshFixture.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(TargetRuns){};

// A target that is there again before it can be asked is known to have crashed
// by the other requests that it lost.
TEST(TargetRuns, StopsARequestWhoseTargetsAreBackAtOnce) {
  FakeTargetOptions Quick;
  Quick.RestartUs = 0;
  Quick.ColdUs = 0;
  Quick.MeanMs = 50;
  auto Mesh = smallMesh(11, {}, {}, 1, Quick);

  for (int I = 0; I < 600; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 requestOf(I % 100 == 50 ? CrashBody : "tag", true));
    Mesh->runFor(5'000);
  }
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(CallSettings().CrashLimit, crashesOf(*Mesh));
}

TEST(TargetRuns, LostConnectionsToHealthyTargetsStopNoRequest) {
  checkProperty("a lost connection is no crash", [] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Mesh = smallMesh(Seed, {}, {});
    std::mt19937_64 Random(Seed);

    for (int I = 0; I < 300; ++I) {
      Mesh->submit(static_cast<std::size_t>(I) % 3, requestOf("same", true));
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
