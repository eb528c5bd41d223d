#include "nodes/ControlCore.h"

#include "support/Property.h"

#include "nodes/FakeFleet.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// A store that each node of a fleet reads itself, with the time of each write.
class ProvenStore {
public:
  explicit ProvenStore(FakeFleet &Fleet) : Fleet(Fleet) {
    Fleet.SourceDown = true;
    publish("text");
  }

  void publish(const std::string &Text) {
    const Version Id = Fleet.publish(Text);
    Written.push_back(
        {Fleet.now(),
         {Id.Revision,
          {{"10-a.ini", Text}, {"20-b.ini", std::to_string(Id.Revision)}}}});
  }

  /// Gives a node the answer to a call that it sent some time ago, without the
  /// version if that is still on its way.
  void answer(std::size_t Index, DurationMs Took, bool WithVersion) {
    FakeNode &Node = *Fleet.Nodes[Index];
    if (!Node.Core || Node.Paused)
      return;
    const IntentBundle &Newest = Written.back().second;
    if (WithVersion)
      Node.Core->offerBundle(Newest);
    Node.Core->onProof(Fleet.now() - Took, Newest.Revision);
  }

  /// Whether a node has the version, or a newer one, that was the newest at the
  /// time for which it has a proof.
  bool proofHolds(const FakeNode &Node) const {
    if (!Node.Core || Node.Core->provenAt() == TimeMs(0))
      return true;
    std::uint64_t Newest = 0;
    for (const auto &[At, Bundle] : Written)
      if (At <= Node.Core->provenAt())
        Newest = Bundle.Revision;
    return Node.Core->inForce() && Node.Core->inForce()->Revision >= Newest;
  }

private:
  FakeFleet &Fleet;
  std::vector<std::pair<TimeMs, IntentBundle>> Written;
};

/// Applies one random event to a fleet of 2 domains with 3 nodes each.
void disturbProofs(FakeFleet &Fleet, ProvenStore &Store, std::uint16_t Step) {
  const std::size_t Choice = Step / 16;
  const std::size_t Index = Choice % Fleet.Nodes.size();
  const DurationMs Took(static_cast<std::int64_t>(Choice % 1500));
  switch (Step % 10) {
  case 0:
  case 1:
    Store.publish("text");
    break;
  case 2:
    Store.publish(Choice % 4 == 0 ? BadText : "text");
    break;
  case 3:
  case 4:
    Store.answer(Index, Took, true);
    break;
  case 5:
    Store.answer(Index, Took, false);
    break;
  case 6:
    if (Fleet.Nodes[Index]->Paused)
      Fleet.resume(Index);
    else
      Fleet.pause(Index);
    break;
  case 7:
    Fleet.cut(Choice % 2, Choice % 3 == 0);
    break;
  case 8:
    if (Fleet.Nodes[Index]->Paused)
      Fleet.resume(Index);
    Fleet.restart(Index);
    break;
  default:
    Fleet.run(static_cast<int>(Choice % 3000));
  }
}

} // namespace

TEST_GROUP(ControlProof){};

// The source does not answer one node. Guards against that node losing its
// proof of freshness although its peers can pass theirs on to it.
TEST(ControlProof, NodeWithoutSourceUsesProofsOfItsPeers) {
  const auto ReadingFleet = makeReadingFleet(2, 3);
  FakeFleet &Fleet = *ReadingFleet;
  Fleet.SourceDown = true;
  std::int64_t Oldest = 0;
  for (int Second = 0; Second < 20; ++Second) {
    const Version Newest = *Fleet.Nodes[1]->Core->inForce();
    for (std::size_t I = 1; I < Fleet.Nodes.size(); ++I)
      Fleet.Nodes[I]->Core->onProof(Fleet.now(), Newest.Revision);
    Fleet.run(1000);
    const DurationMs Age = Fleet.now() - Fleet.Nodes[0]->Core->provenAt();
    if (Second >= 5)
      Oldest = std::max(Oldest, Age.Value);
  }

  CHECK(Oldest <= 4250);
}

// Whichever way a proof has come, from the source or from peers, through
// pauses, restarts and cuts.
TEST(ControlProof, ProvesNoVersionThatWasNotTheNewestAtThatTime) {
  checkProperty("the version in force is at least the proven one", [] {
    FakeFleet Fleet(2, 3, 5, [](ControlSettings &Settings) {
      Settings.EachNodeMayRead = true;
    });
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
      Fleet.start(I);
    Fleet.Faults.MaxDelayMs = 400;
    ProvenStore Store(Fleet);
    const auto Steps = *rc::gen::arbitrary<std::vector<std::uint16_t>>();
    std::size_t Proven = 0;

    for (const std::uint16_t Step : Steps) {
      disturbProofs(Fleet, Store, Step);
      Fleet.run(200);
      for (const auto &Node : Fleet.Nodes) {
        RC_ASSERT(Store.proofHolds(*Node));
        if (Node->Core->provenAt() != TimeMs(0))
          ++Proven;
      }
    }
    RC_ASSERT(Fleet.Violation.empty());
    RC_CLASSIFY(Proven > 0, "proven");
  });
}
