// Tests of nodes whose store comes back from an older copy, with real
// processes. Some nodes read the store through others.

#include "platform/StoreMeshFixture.h"

#include <chrono>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr int ExtraNodes = 3;

/// Longer than any node takes to read the restored store.
constexpr std::chrono::seconds ReadingTime{5};
constexpr std::chrono::milliseconds Pause{50};

constexpr const char *BothKeys = R"("key-one", "key-two")";
constexpr const char *OneKey = R"("key-two")";

} // namespace

TEST_GROUP(StoreRestoreMesh) {
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
  }
  void teardown() override { Mesh.reset(); }

  int status(const StoreMeshInstance &Entry, const std::string &Key) const {
    static int Number = 0;
    return Mesh
        ->send(Entry, {.Id = "r" + std::to_string(++Number),
                       .Path = "/read/a",
                       .Key = Key})
        .status();
  }

  void awaitStatus(const std::string &Key, int Status) const {
    for (const StoreMeshInstance &Each : Mesh->Instances)
      awaitCondition(Each.Id + " answers " + std::to_string(Status) + " to " +
                         Key,
                     [&] { return status(Each, Key) == Status; });
  }

  /// Digests of the versions in force.
  std::set<std::string> versions() const {
    std::set<std::string> Digests;
    for (const StoreMeshInstance &Each : Mesh->Instances)
      Digests.insert(Mesh->status(Each)["version"].value("digest", ""));
    return Digests;
  }

  /// Writes a configuration and waits until it is in force on all nodes. A node
  /// that has not read it before a restore cannot know it.
  void configureAll(const char *Keys) const {
    const std::set<std::string> Before = versions();
    Mesh->configure("queue", Keys);
    awaitCondition("the version is in force everywhere", [&] {
      const std::set<std::string> Now = versions();
      return Now.size() == 1 && !Before.contains(*Now.begin()) &&
             !Now.begin()->empty();
    });
  }

  /// Writes as much as makes the revisions of the copy repeat late.
  void writeMuch() const {
    for (int I = 0; I < 40; ++I)
      Mesh->putItem("other/a", std::to_string(I));
  }
};

TEST(StoreRestoreMesh, ChangesAfterARestoreComeIntoForceOnAllNodes) {
  const std::uint64_t Copy = Mesh->storeRevision();
  writeMuch();
  Mesh->configure("queue", BothKeys);
  awaitStatus("key-two", 200);
  Mesh->restoreStore(Copy);

  Mesh->configure("queue", OneKey);

  awaitStatus("key-one", 401);
  awaitStatus("key-two", 200);
}

// The store holds a configuration again in which the key is valid.
TEST(StoreRestoreMesh, WithdrawnKeyStaysWithdrawnAfterARestore) {
  configureAll(BothKeys);
  awaitStatus("key-two", 200);
  const std::uint64_t Copy = Mesh->storeRevision();
  writeMuch();
  configureAll(OneKey);
  awaitStatus("key-one", 401);

  Mesh->restoreStore(Copy);

  const auto End = std::chrono::steady_clock::now() + ReadingTime;
  while (std::chrono::steady_clock::now() < End) {
    for (const StoreMeshInstance &Each : Mesh->Instances)
      CHECK(status(Each, "key-one") != 200);
    std::this_thread::sleep_for(Pause);
  }
  Mesh->configure("queue", OneKey);
  awaitStatus("key-two", 200);
  awaitStatus("key-one", 401);
}

// A node that starts after the restore knows the copy alone.
TEST(StoreRestoreMesh, RestartedNodeLearnsAWithdrawnKeyFromItsPeers) {
  configureAll(BothKeys);
  awaitStatus("key-two", 200);
  const std::uint64_t Copy = Mesh->storeRevision();
  configureAll(OneKey);
  awaitStatus("key-one", 401);
  Mesh->restoreStore(Copy);

  StoreMeshInstance &Restarted = Mesh->Instances[0];
  Restarted.Node.end();
  Mesh->startNode(Restarted);

  awaitCondition("the restarted node refuses the withdrawn key",
                 [&] { return status(Restarted, "key-one") == 401; });
  for (const StoreMeshInstance &Each : Mesh->Instances)
    CHECK(status(Each, "key-one") != 200);
}

TEST(StoreRestoreMesh, EvacuatedDomainGetsNoRequestsThoughACopyLacksIt) {
  constexpr std::chrono::seconds RewriteTime{2};
  const StoreMeshInstance &Out = Mesh->Instances[1];
  const auto Runs = [&] { return Mesh->commandTarget(Out, "runs").size(); };
  const std::uint64_t Copy = Mesh->storeRevision();
  Mesh->putItem("op/evacuate/west", "1");
  awaitCondition("the domain gets no more requests", [&] {
    const auto Before = Runs();
    for (int I = 0; I < 4; ++I)
      for (const StoreMeshInstance &Each : Mesh->Instances)
        status(Each, "key-one");
    return Runs() == Before;
  });
  const auto Evacuated = Runs();

  Mesh->restoreStore(Copy);

  const auto RestoredAt = std::chrono::steady_clock::now();
  bool IsRewritten = false;
  while (std::chrono::steady_clock::now() < RestoredAt + ReadingTime) {
    for (const StoreMeshInstance &Each : Mesh->Instances)
      status(Each, "key-one");
    if (!IsRewritten &&
        std::chrono::steady_clock::now() >= RestoredAt + RewriteTime) {
      Mesh->putItem("op/evacuate/west", "1");
      IsRewritten = true;
    }
  }
  LONGS_EQUAL(Evacuated, Runs());
}

TEST(StoreRestoreMesh, TargetThatLeavesAfterARestoreGetsNoMoreRequests) {
  const std::uint64_t Copy = Mesh->storeRevision();
  writeMuch();
  Mesh->restoreStore(Copy);
  const StoreMeshInstance &Leaving = Mesh->Instances[1];
  Mesh->registerTarget(Leaving, "draining");

  awaitCondition("the target gets no more requests", [&] {
    bool Ran = false;
    for (int I = 0; I < 12; ++I) {
      status(Mesh->Instances[2], "key-one");
      const auto Before = Mesh->commandTarget(Leaving, "runs").size();
      status(
          Mesh->Instances[static_cast<std::size_t>(I) % Mesh->Instances.size()],
          "key-one");
      Ran = Ran || Mesh->commandTarget(Leaving, "runs").size() > Before;
    }
    return !Ran;
  });
}
