// Tests of calls in a mesh of which a node shuts down, in virtual time.

#include "calls/MeshFixture.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 6;

/// Time from the beginning of a shutdown until its last deadline.
constexpr DurationMs Left{1000};

/// Index of the node beside the only target of the service "archive".
constexpr std::size_t Archive = 3;

CallRequest longRequest(const std::string &Tag, bool Idempotent) {
  CallRequest Request = makeRequest(Tag, Idempotent);
  Request.Remaining = Left * 2;
  return Request;
}

CallRequest shortRequest(const std::string &Tag) {
  CallRequest Request = makeRequest(Tag, false);
  Request.Remaining = DurationMs(Left.Value / 2);
  return Request;
}

CallRequest toArchive(CallRequest Request) {
  Request.Service = "archive";
  return Request;
}

std::unique_ptr<FakeCallMesh> makeArchiveMesh() {
  auto Mesh = makeMesh(5, {}, {});
  Mesh->addNode("east/archive-0", "east", "archive", {});
  Snapshot Config = makeConfig();
  Config.Services["archive"] = {"archive", Slots};
  Mesh->setSnapshot(std::make_shared<const Snapshot>(Config));
  Mesh->publishInstances();
  Mesh->runFor(10 * SecondUs);
  return Mesh;
}

/// Targets whose runs take some hundred milliseconds.
FakeTargetOptions slowTargets() {
  FakeTargetOptions Options;
  Options.MeanMs = 200;
  return Options;
}

} // namespace

TEST_GROUP(CallShutdown){};

TEST(CallShutdown, GracefulShutdownCompletesCallsInProgress) {
  auto Mesh = makeMesh(5, {}, {});

  for (int I = 0; I < 300; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 makeRequest("tag" + std::to_string(I), false));
    if (I == 150)
      Mesh->Nodes[1]->Core->setDraining(Mesh->Time.clock().now());
    Mesh->runFor(5000);
  }
  Mesh->runFor(5 * SecondUs);

  CHECK_TRUE(Mesh->Nodes[1]->Core->idle());
  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  for (std::size_t I = 0; I < Mesh->Calls.size(); ++I) {
    // New calls that enter at the draining node are refused.
    const bool ToLeaving = I % 3 == 1 && I > 150;
    const FakeCall &Call = Mesh->Calls[I];
    LONGS_EQUAL(ToLeaving ? 503 : 200, Call.Answer.Status);
  }
}

TEST(CallShutdown, RequestLateInTheGraceOfADrainIsRefusedNotCut) {
  auto Mesh = makeMesh(5, {}, {});
  Mesh->Nodes[1]->Core->setDraining(Mesh->Time.clock().now() + Left);

  Mesh->submit(1, longRequest("long", false));
  Mesh->submit(1, shortRequest("short"));
  Mesh->runFor(2 * SecondUs);

  CHECK(ResultCode::ShuttingDown == Mesh->Calls[0].Answer.Reason);
  CHECK(Outcome::NotRun == Mesh->Calls[0].Answer.RequestOutcome);
  LONGS_EQUAL(0, Mesh->runsOf("long"));
  LONGS_EQUAL(200, Mesh->Calls[1].Answer.Status);
}

TEST(CallShutdown, RunLateInTheGraceOfADrainIsMovedNotCut) {
  auto Mesh = makeMesh(5, {}, {});
  const int Before = Mesh->Nodes[1]->Target->RunsByOrganisation["large"];
  Mesh->Nodes[1]->Core->setDraining(Mesh->Time.clock().now() + Left);

  for (int I = 0; I < 100; ++I) {
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
    Mesh->runFor(5000);
  }
  Mesh->runFor(3 * SecondUs);

  LONGS_EQUAL(Before, Mesh->Nodes[1]->Target->RunsByOrganisation["large"]);
  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(200, Call.Answer.Status);
}

// Guards against a run that is cut at the end of a shutdown although another
// target could have run it: it began before the drain, when calls of any length
// were taken.
TEST(CallShutdown, LongRunThatCanRunElsewhereIsNotBegunInAShutdown) {
  auto Mesh = makeMesh(5, {}, {});
  Mesh->Nodes[1]->Core->setLeaving(Mesh->Time.clock().now() + Left);

  for (int I = 0; I < 30; ++I) {
    Mesh->submit(1, longRequest("once", false));
    Mesh->submit(1, longRequest("repeatable", true));
    Mesh->submit(1, shortRequest("short"));
    Mesh->runFor(5000);
  }
  Mesh->runFor(3 * SecondUs);

  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(200, Call.Answer.Status);
  auto &RunsOf = Mesh->Nodes[1]->Target->RunsOf;
  LONGS_EQUAL(0, RunsOf["once"]);
  LONGS_EQUAL(0, RunsOf["repeatable"]);
  CHECK(RunsOf["short"] > 0);
}

// Guards against 503 for a request that the only target of its service would
// have answered long before the end of the shutdown.
TEST(CallShutdown, IdempotentRunOfTheOnlyTargetIsBegunInAShutdown) {
  auto Mesh = makeArchiveMesh();
  Mesh->Nodes[Archive]->Core->setLeaving(Mesh->Time.clock().now() + Left);

  const std::size_t Once = Mesh->submit(0, toArchive(longRequest("o", false)));
  const std::size_t Read = Mesh->submit(0, toArchive(longRequest("r", true)));
  Mesh->runFor(3 * SecondUs);

  LONGS_EQUAL(200, Mesh->Calls[Read].Answer.Status);
  LONGS_EQUAL(503, Mesh->Calls[Once].Answer.Status);
  CHECK(Outcome::NotRun == Mesh->Calls[Once].Answer.RequestOutcome);
  LONGS_EQUAL(0, Mesh->runsOf("o"));
}

// Guards against calls that are cut in the queue of a leaving node: they have
// not run, so other targets can take them.
TEST(CallShutdown, QueuedCallsMoveWhenAShutdownBegins) {
  auto Mesh = makeMesh(7, {}, {}, 1, slowTargets());
  for (std::uint32_t I = 0; I < 3 * Slots; ++I)
    Mesh->submit(1, longRequest("tag" + std::to_string(I), false));
  Mesh->runFor(SecondUs / 20);
  auto &Starts = Mesh->Nodes[1]->Target->RunStartsUs;
  const std::size_t Begun = Starts.size();

  Mesh->Nodes[1]->Core->setLeaving(Mesh->Time.clock().now());
  Mesh->runFor(5 * SecondUs);

  CHECK(Begun > 0);
  LONGS_EQUAL(Begun, Starts.size());
  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(200, Call.Answer.Status);
}

// The runs at work are completed, so what they call must be, too.
TEST(CallShutdown, InnerCallsOfRunsAtWorkAreTakenInADrain) {
  auto Mesh = makeMesh(5, {}, {});
  CallCore &Leaving = *Mesh->Nodes[1]->Core;
  Leaving.setDraining(Mesh->Time.clock().now());

  CallRequest Inner = shortRequest("inner");
  Inner.Priority = InnerCallPriority;
  Mesh->submit(1, Inner);
  Mesh->submit(1, shortRequest("of a caller"));
  Leaving.refuseWaiting();
  Mesh->runFor(SecondUs);

  LONGS_EQUAL(200, Mesh->Calls[0].Answer.Status);
  LONGS_EQUAL(503, Mesh->Calls[1].Answer.Status);
}

// Guards against a node that ends while it still has calls at work, or is kept
// by calls that wait for a target.
TEST(CallShutdown, IsIdleOnceTheCallsAtWorkHaveEnded) {
  auto Mesh = makeMesh(5, {}, {}, 1, slowTargets());
  CallCore &Leaving = *Mesh->Nodes[1]->Core;
  const std::size_t AtWork = Mesh->submit(1, longRequest("at work", true));
  CallRequest Unserved = longRequest("unserved", true);
  Unserved.Service = "archive";
  const std::size_t Waiting = Mesh->submit(1, Unserved);
  Mesh->runFor(SecondUs / 50);

  Leaving.setDraining(Mesh->Time.clock().now());
  Leaving.refuseWaiting();
  Mesh->runFor(SecondUs / 50);

  CHECK_FALSE(Leaving.idle());
  LONGS_EQUAL(0, Mesh->Calls[AtWork].Answers);
  LONGS_EQUAL(503, Mesh->Calls[Waiting].Answer.Status);
  Mesh->runFor(3 * SecondUs);
  CHECK_TRUE(Leaving.idle());
  LONGS_EQUAL(200, Mesh->Calls[AtWork].Answer.Status);
}

// Guards against a node that ends while another node still fetches the answer
// of a run that has ended: the run cannot be repeated, its caller gets 502.
TEST(CallShutdown, IsNotIdleBeforeOtherNodesHaveTheWholeAnswers) {
  FakeTargetOptions Large;
  Large.PaddingBytes = 600 * 1024;
  auto Mesh = makeMesh(8, {}, {}, 1, Large);
  for (int I = 0; I < 12; ++I)
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
  Mesh->runFor(SecondUs / 200);
  const std::size_t Begun = Mesh->Nodes[1]->Target->RunStartsUs.size();

  Mesh->Nodes[1]->Core->setDraining(Mesh->Time.clock().now());
  while (!Mesh->Nodes[1]->Core->idle())
    Mesh->runFor(SecondUs / 1000);
  Mesh->killNode(1);
  Mesh->runFor(3 * SecondUs);

  CHECK(Begun > 0);
  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(200, Call.Answer.Status);
}
