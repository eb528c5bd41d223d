// Tests of nodes of which one knows only the older configuration that a
// restored source has given a later revision.

#include "nodes/ControlCore.h"

#include "nodes/FakeFleet.h"

#include <cstddef>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

IntentBundle bundle(const std::string &Text, std::uint64_t Revision,
                    std::uint64_t Number) {
  return {Revision, {{"10-a.ini", Text}}, Number};
}

} // namespace

TEST_GROUP(RestoredSource) {
  static constexpr std::uint64_t Revision = 20;
  static constexpr std::uint64_t CopyRevision = 1000;

  FakeFleet Fleet{2, 2, 7, [](ControlSettings &Settings) {
                    Settings.EachNodeMayRead = true;
                  }};

  void setup() override {
    Fleet.SourceDown = true;
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
      Fleet.start(I);
      Fleet.Nodes[I]->Core->offerBundle(bundle("new", Revision, 7));
      Fleet.Nodes[I]->Core->onProof(Fleet.now(), Revision, 7);
    }
    Fleet.run(2000);
  }

  /// A process starts that reads the copy; its calls are answered.
  void startOnCopy() {
    Fleet.restart(0);
    Fleet.Nodes[0]->Core->offerBundle(bundle("old", CopyRevision, 6));
  }

  void runWithProofsOfTheCopy() {
    for (int I = 0; I < 30; ++I) {
      Fleet.Nodes[0]->Core->onProof(Fleet.now(), CopyRevision, 6);
      Fleet.run(100);
    }
  }
};

TEST(RestoredSource, NoNodeGoesBackAndTheOneThatStartedCatchesUp) {
  startOnCopy();

  runWithProofsOfTheCopy();

  for (const auto &Node : Fleet.Nodes)
    LONGS_EQUAL(7, Node->Core->inForce()->Number);
  for (std::size_t I = 1; I < Fleet.Nodes.size(); ++I)
    for (const Version &Each : Fleet.Nodes[I]->InForce)
      LONGS_EQUAL(7, Each.Number);
}

TEST(RestoredSource, ProofOfTheOlderConfigurationIsNoneOfTheNewer) {
  const TimeMs ProvenBefore = Fleet.Nodes[1]->Core->provenAt();
  startOnCopy();

  runWithProofsOfTheCopy();

  for (std::size_t I = 1; I < Fleet.Nodes.size(); ++I)
    CHECK(Fleet.Nodes[I]->Core->provenAt() == ProvenBefore);
}
