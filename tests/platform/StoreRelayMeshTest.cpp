// Tests of nodes that read the fake platform through other nodes of their
// failure domain, with real processes.

#include "platform/StoreMeshFixture.h"

#include <algorithm>
#include <memory>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(StoreRelayMesh) {
  static constexpr int ExtraNodes = 4;

  std::unique_ptr<StoreMesh> Mesh;

  void setup() override {
    Mesh = std::make_unique<StoreMesh>();
    for (int I = 0; I < ExtraNodes; ++I)
      Mesh->addInstance("east", "queue", "i-extra-" + std::to_string(I));
    try {
      Mesh->start();
    } catch (const std::exception &Error) {
      FAIL(Error.what());
    }
    awaitCondition("some nodes read through others", [this] {
      return std::any_of(Mesh->Instances.begin(), Mesh->Instances.end(),
                         [this](const auto &Each) { return isRelayed(Each); });
    });
  }
  void teardown() override { Mesh.reset(); }

  /// Whether a node has lately read through another one, and not itself.
  bool isRelayed(const StoreMeshInstance &Instance) const {
    const auto Reads = [&](const char *Name) {
      return Mesh->metric(Instance, Name);
    };
    const double Relayed = Reads("fescuewood_relayed_reads_total");
    const double Own = Reads("fescuewood_source_reads_total");
    std::this_thread::sleep_for(std::chrono::milliseconds(1500));
    return Reads("fescuewood_relayed_reads_total") > Relayed + 1 &&
           Reads("fescuewood_source_reads_total") == Own;
  }

  StoreMeshInstance &relayed() {
    for (StoreMeshInstance &Each : Mesh->Instances)
      if (isRelayed(Each))
        return Each;
    FAIL("no node reads through another");
    return Mesh->Instances.front();
  }

  int status(const StoreMeshInstance &Entry, const std::string &Path,
             const std::string &Key = "") const {
    static int Number = 0;
    return Mesh
        ->send(Entry,
               {.Id = "q" + std::to_string(++Number), .Path = Path, .Key = Key})
        .status();
  }
};

TEST(StoreRelayMesh, ChangesReachANodeWhoseReadersAreKilled) {
  const std::string Survivor = relayed().Id;
  for (StoreMeshInstance &Each : Mesh->Instances)
    if (Each.Id != Survivor && Each.Domain == "east")
      Each.Node.end();

  Mesh->configure("queue", R"("key-two")");

  for (StoreMeshInstance &Each : Mesh->Instances)
    if (Each.Id == Survivor)
      awaitCondition("the withdrawn key is refused",
                     [&] { return status(Each, "/read/a", "key-one") == 401; });
}

TEST(StoreRelayMesh, NodeThatTheStoreRejectsGoesOnThroughTheReaders) {
  StoreMeshInstance &Rejected = relayed();
  Mesh->commandStore("set?status=503&only=" + Rejected.Ip);

  Mesh->configure("queue", R"("key-one", "key-two")");

  awaitCondition("the new key is known",
                 [&] { return status(Rejected, "/read/a", "key-two") == 200; });
}

// What it knew before is gone, and the store does not answer it.
TEST(StoreRelayMesh, RestartedNodeLearnsAWithdrawnKeyFromTheReaders) {
  StoreMeshInstance &Restarted = relayed();
  Restarted.Node.end();
  Mesh->configure("queue", R"("key-two")");
  Mesh->commandStore("set?status=503&only=" + Restarted.Ip);
  Mesh->startNode(Restarted);

  awaitCondition("it serves the other key", [&] {
    CHECK(status(Restarted, "/read/a", "key-one") != 200);
    return status(Restarted, "/read/a", "key-two") == 200;
  });
  LONGS_EQUAL(401, status(Restarted, "/read/a", "key-one"));
}
