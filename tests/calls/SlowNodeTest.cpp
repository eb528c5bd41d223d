#include "calls/MeshFixture.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Shorter than the silence after which a connection is dropped, longer than
/// the first outcome fetch and its timeout.
constexpr std::int64_t SlowUs = 900'000;

/// Time for a request to reach its target.
constexpr std::int64_t ArrivalUs = 10'000;

/// Maximum time from the loss of a node to the next run of its calls: the
/// silence after which its connections are dropped, and an inspection.
constexpr std::int64_t MaxMoveTimeUs = 1'400'000;

constexpr DurationMs Deadline{2000};

} // namespace

TEST_GROUP(SlowNode) {
  std::unique_ptr<FakeCallMesh> Mesh;
  std::size_t EntryNode = 0;
  std::size_t Number = 0; ///< Of the call that was started last.

  void start(std::uint64_t Seed, double RunMs, FakeNetworkOptions Network) {
    FakeTargetOptions Target;
    Target.MeanMs = RunMs;
    Mesh = makeMesh(Seed, {}, Network, 1, Target);
    EntryNode = Mesh->addNode("east/entry", "east", "none", {});
    Mesh->publishInstances();
  }

  /// Submits an idempotent call and returns the node at which it runs.
  std::size_t startRun(const std::string &Tag, DurationMs Remaining) {
    CallRequest Request = makeRequest(Tag, true);
    Request.Remaining = Remaining;
    Number = Mesh->submit(EntryNode, Request);
    Mesh->runFor(ArrivalUs);
    for (std::size_t I = 0; I < Mesh->Nodes.size(); ++I)
      if (Mesh->Nodes[I]->Target->RunsOf.contains(Tag))
        return I;
    FAIL("the call did not start");
    return 0;
  }

  void submitOthers(int Count) {
    for (int I = 0; I < Count; ++I)
      Mesh->submit(EntryNode, makeRequest("other", false));
  }

  void checkAnsweredByItsOnlyRun() {
    Mesh->runFor(5 * SecondUs);
    const FakeCall &Call = Mesh->Calls.at(Number);
    LONGS_EQUAL(1, Call.Answers);
    LONGS_EQUAL(200, Call.Answer.Status);
    LONGS_EQUAL(1, Mesh->runsOf(Call.Tag));
  }
};

TEST(SlowNode, KeepsTheRunOfANodeThatIsPaused) {
  start(21, 300, {});

  Mesh->pauseNode(startRun("tag", Deadline), SlowUs);

  checkAnsweredByItsOnlyRun();
}

TEST(SlowNode, KeepsTheRunOfANodeWhoseLinkIsBusy) {
  FakeNetworkOptions Network;
  Network.LinkBytesPerMs = 1250;
  start(22, 300, Network);

  Mesh->occupyLink(startRun("tag", Deadline), SlowUs);

  checkAnsweredByItsOnlyRun();
}

// The next target refuses the call, since too little time is left there.
TEST(SlowNode, KeepsARunThatCannotBeRepeatedInTime) {
  start(24, 300, {});
  submitOthers(15);
  Mesh->runFor(2 * SecondUs);
  submitOthers(9);

  Mesh->pauseNode(startRun("tag", DurationMs(980)), SlowUs);
  Mesh->runFor(SlowUs / 2);
  submitOthers(9);

  checkAnsweredByItsOnlyRun();
}

// Guards against a download that a draining node answers 502 while its target
// runs it: the silent run was given up, and the next target refused the call.
TEST(SlowNode, KeepsTheRunOfACallWhoseEntryNodeDrains) {
  constexpr DurationMs Grace{6000};
  start(25, 300, {});
  submitOthers(15);
  Mesh->runFor(2 * SecondUs);
  submitOthers(9);
  const std::size_t RunsAt = startRun("tag", DurationMs(980));
  FakeNode &Entry = *Mesh->Nodes[EntryNode];
  Entry.Core->setDraining(Mesh->Time.clock().now() + Grace);

  Mesh->pauseNode(RunsAt, SlowUs);
  Mesh->runFor(SlowUs / 2);
  for (int I = 0; I < 9; ++I)
    Mesh->submit((RunsAt + 1) % EntryNode, makeRequest("other", false));

  checkAnsweredByItsOnlyRun();
  CHECK_TRUE(Entry.Core->idle());
}

TEST(SlowNode, MovesTheCallOfALostNodeInTime) {
  start(23, 300, {});

  Mesh->killNode(startRun("tag", Deadline));
  Mesh->runFor(MaxMoveTimeUs);

  LONGS_EQUAL(2, Mesh->runsOf("tag"));
  Mesh->runFor(5 * SecondUs);
  LONGS_EQUAL(200, Mesh->Calls.at(Number).Answer.Status);
}
