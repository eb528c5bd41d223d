#include "calls/MeshFixture.h"

#include <algorithm>
#include <cstdint>
#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::int64_t MsUs = 1000;
constexpr std::size_t Leaving = 0;
constexpr std::uint64_t ListedAt = 5; ///< Revision of all targets' entries.

} // namespace

TEST_GROUP(TargetListingMesh) {
  std::unique_ptr<FakeCallMesh> Mesh;

  void setup() override {
    FakeTargetOptions Target;
    Target.MeanMs = 50;
    CallSettings Settings;
    Settings.Admission = AdmissionMode::Slots;
    Mesh = std::make_unique<FakeCallMesh>(1, Settings, FakeNetworkOptions());
    Mesh->TargetsListed = true;
    for (std::size_t I = 0; I < 3; ++I) {
      Mesh->addNode("east/queue-" + std::to_string(I), "east", "queue", Target);
      Mesh->listTarget(I, entry(I));
    }
    Mesh->setSnapshot(std::make_shared<const Snapshot>(makeConfig()));
    Mesh->publishInstances();
    Mesh->runFor(10 * SecondUs);
  }

  ListedInstance entry(std::size_t At) {
    ListedInstance Entry = Mesh->listing(At, "first");
    Entry.Revision = ListedAt;
    return Entry;
  }

  void offer(int PerSecond, std::int64_t SpanUs) {
    offerRequests(*Mesh, PerSecond, SpanUs);
  }

  std::size_t runsSince(std::int64_t FromUs) const {
    return ::runsSince(*Mesh, Leaving, FromUs);
  }
};

// The node's own reading still has the target.
TEST(TargetListingMesh, TargetThatOthersReadAsLeavingGetsNoMoreRequests) {
  offer(100, 2 * SecondUs);
  CHECK(runsSince(0) > 20);
  const std::int64_t Reported = Mesh->Time.nowUs();

  Mesh->reportListing(Leaving, {ListedAt + 1, true, 0});
  offer(100, 2 * SecondUs);

  LONGS_EQUAL(0, runsSince(Reported));
}

// All nodes know the listing; a state of its own would outlast the next one.
TEST(TargetListingMesh, NodePublishesNoStateOfItsOwnForALeavingByReport) {
  const TargetState &Published = Mesh->Nodes[Leaving]->PublishedState;
  CHECK(Published < TargetState::Draining);

  Mesh->reportListing(Leaving, {ListedAt + 1, true, 0});
  Mesh->runFor(SecondUs);

  CHECK(Published < TargetState::Draining);
}

// More requests than the target runs at once, so that some wait.
TEST(TargetListingMesh, QueuedRequestsDoNotReachATargetThatHasBegunToLeave) {
  offer(400, SecondUs);
  const std::int64_t Reported = Mesh->Time.nowUs();

  Mesh->reportListing(Leaving, {ListedAt + 1, true, 0});
  Mesh->runFor(2 * SecondUs);

  LONGS_EQUAL(0, runsSince(Reported));
  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(1, Call.Answers);
}

// Its entry was removed while its node could not read the platform.
TEST(TargetListingMesh, LeftTargetGetsNoRequestAfterTheEndOfItsAssumption) {
  constexpr std::int64_t AssumedMs = 800;
  const std::int64_t End = Mesh->Time.nowUs() + AssumedMs * MsUs;
  ListedInstance Assumed = entry(Leaving);
  Assumed.AssumedUntil = TimeMs(End / MsUs);
  Mesh->listTarget(Leaving, Assumed);

  offer(100, 3 * SecondUs);

  CHECK(runsSince(0) > 5);
  LONGS_EQUAL(0, runsSince(End));
}
