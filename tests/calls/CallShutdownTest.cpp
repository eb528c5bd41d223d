// Tests of calls in a mesh of which a node shuts down, in virtual time.

#include "calls/MeshFixture.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 6;

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
  constexpr DurationMs Left{1000};
  Mesh->Nodes[1]->Core->setDraining(Mesh->Time.clock().now() + Left);
  CallRequest Long = makeRequest("long", false);
  Long.Remaining = Left * 2;
  CallRequest Short = makeRequest("short", false);
  Short.Remaining = DurationMs(Left.Value / 2);

  Mesh->submit(1, Long);
  Mesh->submit(1, Short);
  Mesh->runFor(2 * SecondUs);

  CHECK(ResultCode::ShuttingDown == Mesh->Calls[0].Answer.Reason);
  CHECK(Outcome::NotRun == Mesh->Calls[0].Answer.RequestOutcome);
  LONGS_EQUAL(0, Mesh->runsOf("long"));
  LONGS_EQUAL(200, Mesh->Calls[1].Answer.Status);
}

TEST(CallShutdown, RunLateInTheGraceOfADrainIsMovedNotCut) {
  auto Mesh = makeMesh(5, {}, {});
  constexpr DurationMs Left{1000};
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

// Guards against a run that is cut at the end of a shutdown and cannot be
// repeated: it began before the drain, when calls of any length were taken.
TEST(CallShutdown, LongRunThatMustNotBeRepeatedIsNotBegunInAShutdown) {
  auto Mesh = makeMesh(5, {}, {});
  constexpr DurationMs Left{1000};
  Mesh->Nodes[1]->Core->setLeaving(Mesh->Time.clock().now() + Left);

  for (int I = 0; I < 30; ++I) {
    CallRequest Once = makeRequest("once", false);
    Once.Remaining = Left * 2;
    CallRequest Short = makeRequest("short", false);
    Short.Remaining = DurationMs(Left.Value / 2);
    CallRequest Repeatable = makeRequest("repeatable", true);
    Repeatable.Remaining = Left * 2;
    for (const CallRequest &Request : {Once, Short, Repeatable})
      Mesh->submit(1, Request);
    Mesh->runFor(5000);
  }
  Mesh->runFor(3 * SecondUs);

  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(200, Call.Answer.Status);
  auto &RunsOf = Mesh->Nodes[1]->Target->RunsOf;
  LONGS_EQUAL(0, RunsOf["once"]);
  CHECK(RunsOf["short"] > 0);
  CHECK(RunsOf["repeatable"] > 0);
}
