#include "support/Property.h"

#include "calls/MeshFixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 6;

/// Maximum time until a fixture request is answered: its deadline, the grace
/// period and ticks, in microseconds.
constexpr std::int64_t MaxAnswerTimeUs = 2'000'000 + 150'000;

constexpr std::int64_t NodePauseUs = 3 * SecondUs;

constexpr std::size_t CrashInterval = 20;

/// Injects one fault of the given kind at a node.
void injectFault(FakeCallMesh &Mesh, int Kind, std::size_t At) {
  const std::size_t Other = (At + 1) % Mesh.Nodes.size();
  switch (Kind) {
  case 0:
    Mesh.Nodes[At]->Target->crash();
    break;
  case 1:
    Mesh.Nodes[At]->Target->makeCold();
    break;
  case 2:
    Mesh.pauseNode(At, NodePauseUs);
    break;
  case 3:
    Mesh.silenceConnection(Other, At);
    break;
  case 4:
    // Node 0, where the calls enter, is not killed: calls are lost with their
    // entry node, as are their callers' connections.
    if (At != 0) {
      Mesh.killNode(At);
      Mesh.startNode(At);
      Mesh.publishInstances();
    }
    break;
  default: {
    Snapshot Next = makeConfig();
    Next.Domains["west"].Status =
        Mesh.Config->Domains.at("west").Status == DomainStatus::In
            ? DomainStatus::Out
            : DomainStatus::In;
    Mesh.setSnapshot(std::make_shared<const Snapshot>(Next));
  }
  }
}

double successRate(const FakeCallMesh &Mesh, std::size_t From = 0) {
  std::size_t Ok = 0;
  for (std::size_t I = From; I < Mesh.Calls.size(); ++I)
    if (Mesh.Calls[I].Answer.Status == 200)
      ++Ok;
  return static_cast<double>(Ok) /
         static_cast<double>(Mesh.Calls.size() - From);
}

/// Offers 600 requests, of which each CrashInterval-th crashes its target.
void offerRequestsOfWhichSomeCrash(FakeCallMesh &Mesh) {
  for (std::size_t I = 0; I < 600; ++I) {
    const bool Crashing = I % CrashInterval == 0;
    Mesh.submit(
        I % 3,
        makeRequest(Crashing ? CrashBody : "tag" + std::to_string(I), true));
    Mesh.runFor(20'000);
  }
  Mesh.runFor(5 * SecondUs);
}

void restartAllWithOneIncarnation(FakeCallMesh &Mesh) {
  Mesh.SharedIncarnation = 1;
  for (std::size_t At = 0; At < Mesh.Nodes.size(); ++At) {
    Mesh.killNode(At);
    Mesh.startNode(At);
  }
  Mesh.publishInstances();
  Mesh.runFor(10 * SecondUs);
}

} // namespace

TEST_GROUP(CallCore){};

// Checks the invariants of calls over long runs with lost, delayed, duplicated
// and reordered messages, silent connections, pauses, crashes and restarts.
TEST(CallCore, KeepsInvariantsUnderRandomFaults) {
  checkProperty("one answer, at most one run, correct outcome", [] {
    FakeNetworkOptions Network;
    Network.Loss = *rc::gen::element(0.0, 0.02, 0.2);
    Network.Duplicate = *rc::gen::element(0.0, 0.3);
    Network.Late = *rc::gen::element(0.0, 0.2);
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Mesh = makeMesh(Seed, {}, Network);
    std::mt19937_64 Random(Seed);
    const auto Faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3)));
    std::size_t Next = 0;

    for (int I = 0; I < 300; ++I) {
      const int At = static_cast<int>(Random() % 100);
      Mesh->submit(0, makeRequest("tag" + std::to_string(I), At % 2 == 0));
      if (At < 10 && Next < Faults.size()) {
        injectFault(*Mesh, Faults[Next].first,
                    static_cast<std::size_t>(Faults[Next].second));
        ++Next;
      }
      Mesh->runFor(At * 400);
    }
    Mesh->runFor(20 * SecondUs);

    const std::string Violation = invariantViolation(*Mesh, Slots);
    if (!Violation.empty())
      RC_FAIL(Violation);
    // A paused entry node answers no call until it resumes.
    const bool EntryPaused = std::find(Faults.begin(), Faults.end(),
                                       std::pair(2, 0)) != Faults.end();
    const std::int64_t BoundUs =
        MaxAnswerTimeUs +
        (EntryPaused ? static_cast<std::int64_t>(Faults.size()) * NodePauseUs
                     : 0);
    for (const FakeCall &Call : Mesh->Calls)
      RC_ASSERT(Call.AnsweredUs - Call.SentUs <= BoundUs);
  });
}

TEST(CallCore, AnswersEveryCallOfAHealthyMesh) {
  auto Mesh = makeMesh(1, {}, {});

  for (int I = 0; I < 1000; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 makeRequest("tag" + std::to_string(I), false));
    Mesh->runFor(3000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  DOUBLES_EQUAL(1.0, successRate(*Mesh), 0);
}

// Guards against answers to another node's calls: nodes that start at the same
// time may draw the same incarnation.
TEST(CallCore, NodesOfEqualIncarnationGetTheirOwnAnswers) {
  auto Mesh = makeMesh(1, {}, FakeNetworkOptions());
  restartAllWithOneIncarnation(*Mesh);

  offerRequests(*Mesh, 50, 3 * SecondUs);
  Mesh->runFor(3 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  CHECK(successRate(*Mesh) > 0.99);
}

// The entry node can distinguish a lost request from a lost answer only by
// fetching the outcome. A non-idempotent call must be answered in both cases.
TEST(CallCore, DistinguishesALostRequestFromALostAnswer) {
  FakeNetworkOptions Network;
  Network.Loss = 0.05;
  auto Mesh = makeMesh(2, {}, Network);

  for (int I = 0; I < 1000; ++I) {
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
    Mesh->runFor(10'000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  CHECK(successRate(*Mesh) > 0.99);
}

TEST(CallCore, SilentConnectionDelaysAnswersByABoundedTime) {
  auto Mesh = makeMesh(3, {}, {});
  Mesh->silenceConnection(0, 1);
  Mesh->silenceConnection(0, 2);
  const CallSettings Settings;
  // The first fetch delay, one fetch, and the request over a fresh connection.
  const std::int64_t BoundUs =
      (Settings.HeartbeatInterval * 2 + Settings.FetchTimeout).Value * 1000;

  for (int I = 0; I < 400; ++I) {
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
    Mesh->runFor(3000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  for (const FakeCall &Call : Mesh->Calls) {
    LONGS_EQUAL(200, Call.Answer.Status);
    CHECK(Call.AnsweredUs - Call.SentUs <= BoundUs);
  }
}

TEST(CallCore, DomainTakenOutGetsNoCallsAndItsCallersAreServedByOtherDomains) {
  auto Mesh = makeMesh(4, {}, {});
  Snapshot Out = makeConfig();
  Out.Domains["east"].Status = DomainStatus::Out;
  Mesh->setSnapshot(std::make_shared<const Snapshot>(Out));
  const std::uint32_t Before =
      static_cast<std::uint32_t>(Mesh->Nodes[0]->Target->RunsOf.size());

  for (int I = 0; I < 200; ++I) {
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
    Mesh->runFor(10'000);
  }
  Mesh->runFor(3 * SecondUs);

  LONGS_EQUAL(Before, Mesh->Nodes[0]->Target->RunsOf.size());
  DOUBLES_EQUAL(1.0, successRate(*Mesh), 0);
}

// A call without any target is refused while its caller still has time for a
// retry, by when a target may be available.
TEST(CallCore, RefusesACallWithoutTargetBeforeItsDeadline) {
  auto Mesh = makeMesh(6, {}, {});
  CallRequest Request = makeRequest("tag", false);
  Request.Service = "unserved";
  const std::int64_t TimeUs = Request.Remaining.Value * 1000;

  Mesh->submit(0, Request);
  Mesh->runFor(TimeUs / 2);

  const FakeCall &Call = Mesh->Calls[0];
  LONGS_EQUAL(1, Call.Answers);
  LONGS_EQUAL(503, Call.Answer.Status);
  CHECK(ResultCode::NoTargetAvailable == Call.Answer.Reason);
  CHECK(Outcome::NotRun == Call.Answer.RequestOutcome);
}

TEST(CallCore, QuarantinesARequestThatCrashesTargetsAndServesOthers) {
  auto Mesh = makeMesh(6, {}, {});

  offerRequestsOfWhichSomeCrash(*Mesh);

  LONGS_EQUAL(CallSettings().CrashLimit, crashCount(*Mesh));
  std::size_t Served = 0;
  for (std::size_t I = 0; I < Mesh->Calls.size(); ++I)
    if (I % CrashInterval != 0 && Mesh->Calls[I].Answer.Status == 200)
      ++Served;
  CHECK_TRUE_TEXT(Served > 560, std::to_string(Served).c_str());
}

// Guards against crashes beside two nodes that count as one.
TEST(CallCore, CrashesBesideNodesOfEqualIncarnationAreTwo) {
  auto Mesh = makeMesh(6, {}, {});
  restartAllWithOneIncarnation(*Mesh);

  offerRequestsOfWhichSomeCrash(*Mesh);

  LONGS_EQUAL(CallSettings().CrashLimit, crashCount(*Mesh));
}

TEST(CallCore, OrganisationAtFiveTimesItsShareDoesNotStarveAnother) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 50;
  auto Mesh = makeMesh(7, {}, {}, 1, Slow);
  // Three targets with 6 slots at 50 ms a call serve 360 calls per second.
  constexpr int Rounds = 1500;

  for (int I = 0; I < Rounds; ++I) {
    CallRequest Large = makeRequest("large" + std::to_string(I), true);
    Mesh->submit(static_cast<std::size_t>(I) % 3, Large);
    if (I % 5 == 0) {
      CallRequest Small = makeRequest("small" + std::to_string(I), true);
      Small.Organisation = "small";
      Mesh->submit(static_cast<std::size_t>(I) % 3, Small);
    }
    Mesh->runFor(1500);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  std::size_t SmallOk = 0;
  std::size_t SmallAll = 0;
  for (const FakeCall &Call : Mesh->Calls) {
    if (Call.Organisation != "small")
      continue;
    ++SmallAll;
    if (Call.Answer.Status == 200)
      ++SmallOk;
  }
  CHECK(static_cast<double>(SmallOk) > 0.97 * static_cast<double>(SmallAll));
}

TEST(CallCore, CallsThatCanWaitAreNeverRefusedUnderOverload) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 50;
  CallSettings Tight;
  Tight.MaxHeldBytes = 64 << 10;
  auto Mesh = makeMesh(8, Tight, {}, 1, Slow);

  for (int I = 0; I < 1500; ++I) {
    CallRequest Request = makeRequest("tag" + std::to_string(I), false);
    Request.CanWait = I % 4 == 0;
    Mesh->submit(static_cast<std::size_t>(I) % 3, Request);
    Mesh->runFor(1500);
  }
  Mesh->runFor(70 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  for (std::size_t I = 0; I < Mesh->Calls.size(); I += 4)
    LONGS_EQUAL(200, Mesh->Calls[I].Answer.Status);
}

// Only runs update the expected latency of a target. If a high expectation
// refused every short call, it would never be corrected.
TEST(CallCore, SlowAnswersDoNotBlockShorterCallsPermanently) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 1200;
  auto Mesh = makeMesh(9, {}, {}, 1, Slow);
  for (std::size_t I = 0; I < 9; ++I)
    Mesh->submit(I % 3, makeRequest("slow" + std::to_string(I), true));
  Mesh->runFor(20 * SecondUs);

  CallRequest Short = makeRequest("short", true);
  Short.Remaining = DurationMs(1000);
  Mesh->submit(0, Short);
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(1, Mesh->runsOf("short"));
}

TEST(CallCore, RunsACallOnNoMoreTargetsThanItsRouteAllows) {
  constexpr std::uint8_t RouteAttempts = 2;
  CallSettings Settings;
  Settings.RetryReserve = 10000;
  FakeNetworkOptions Network;
  Network.Late = 0.6;
  auto Mesh = makeMesh(11, Settings, Network, 2);
  const std::size_t EntryNode = Mesh->addNode("east/entry", "east", "none", {});
  Mesh->publishInstances();

  for (int I = 0; I < 600; ++I) {
    CallRequest Request = makeRequest("tag" + std::to_string(I), true);
    Request.MaxAttempts = RouteAttempts;
    Mesh->submit(EntryNode, Request);
    Mesh->runFor(20'000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  for (const FakeCall &Call : Mesh->Calls)
    CHECK_TRUE_TEXT(Mesh->runsOf(Call.Tag) <= RouteAttempts, Call.Tag.c_str());
}

TEST(CallCore, TransfersALargeAnswerOnceOverABusyLink) {
  constexpr std::size_t AnswerBytes = 280'000;
  constexpr int Count = 400;
  FakeNetworkOptions Network;
  Network.LinkBytesPerMs = 3000;
  FakeTargetOptions Target;
  Target.MeanMs = 60;
  Target.PaddingBytes = AnswerBytes;
  auto Mesh = makeMesh(12, {}, Network, 1, Target);
  const std::size_t EntryNode = Mesh->addNode("east/entry", "east", "none", {});
  Mesh->publishInstances();
  Mesh->BytesSent = 0;

  // 70 % of what the three links carry, in bursts of 12.
  for (int I = 0; I < Count; ++I) {
    if (I % 12 == 0)
      Mesh->runFor(528'000);
    Mesh->submit(EntryNode, makeRequest("tag" + std::to_string(I), true));
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  DOUBLES_EQUAL(1.0, successRate(*Mesh), 0);
  const double SentPerAnswer =
      static_cast<double>(Mesh->BytesSent) / (Count * AnswerBytes);
  CHECK_TRUE_TEXT(SentPerAnswer < 1.05, std::to_string(SentPerAnswer).c_str());
  for (const FakeCall &Call : Mesh->Calls)
    LONGS_EQUAL(1, Mesh->runsOf(Call.Tag));
}

TEST(CallCore, KeepsNoAnswerThatNobodyMayAskFor) {
  FakeTargetOptions Target;
  Target.PaddingBytes = 280'000;
  auto Mesh = makeMesh(13, {}, {}, 1, Target);
  const std::size_t EntryNode = Mesh->addNode("east/entry", "east", "none", {});
  Mesh->publishInstances();

  for (int I = 0; I < 30; ++I) {
    Mesh->submit(EntryNode, makeRequest("tag" + std::to_string(I), true));
    Mesh->runFor(100'000);
  }
  Mesh->runFor(SecondUs);

  DOUBLES_EQUAL(1.0, successRate(*Mesh), 0);
  for (const auto &Node : Mesh->Nodes)
    LONGS_EQUAL(0, Node->Core->status().KeptBytes);
}

TEST(CallCore, KeepsNoAnswerBeyondTheDeadlineOfItsCall) {
  auto Mesh = makeMesh(14, {}, {});

  for (int I = 0; I < 30; ++I)
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
  Mesh->runFor(4 * SecondUs);

  for (const auto &Node : Mesh->Nodes)
    LONGS_EQUAL(0, Node->Core->status().KeptBytes);
}

TEST(CallCore, StartsNoRunWhoseLargeAnswerCannotBeKept) {
  CallSettings Settings;
  Settings.MaxKeptBytes = 2 << 20;
  FakeNetworkOptions Network;
  Network.LinkBytesPerMs = 500;
  FakeTargetOptions Target;
  Target.PaddingBytes = 300'000;
  auto Mesh = makeMesh(15, Settings, Network, 1, Target);
  const std::size_t EntryNode = Mesh->addNode("east/entry", "east", "none", {});
  Mesh->publishInstances();

  // Four times what the three links carry.
  for (int I = 0; I < 200; ++I) {
    Mesh->submit(EntryNode, makeRequest("tag" + std::to_string(I), true));
    Mesh->runFor(50'000);
    for (const auto &Node : Mesh->Nodes)
      CHECK_TRUE(Node->Core->status().KeptBytes <= Settings.MaxKeptBytes);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  CHECK_TRUE(successRate(*Mesh) > 0);
  const auto Lost = std::count_if(
      Mesh->Calls.begin(), Mesh->Calls.end(), [](const FakeCall &Call) {
        return Call.Answer.Reason == ResultCode::AnswerLost;
      });
  LONGS_EQUAL(0, Lost);
}

// Shows that the model detects duplicate runs: a plain retry, without outcome
// fetch and fence, runs a call twice when an answer is lost.
TEST(CallCore, PlainRetryRunsACallTwice) {
  CallSettings Settings;
  Settings.Retry = RetryMode::Plain;
  FakeNetworkOptions Network;
  Network.Loss = 0.1;
  auto Mesh = makeMesh(9, Settings, Network);

  for (int I = 0; I < 300; ++I) {
    Mesh->submit(0, makeRequest("tag" + std::to_string(I), false));
    Mesh->runFor(10'000);
  }
  Mesh->runFor(5 * SecondUs);

  CHECK_FALSE(invariantViolation(*Mesh, Slots).empty());
}

TEST(CallCore, KeyWithdrawalRefusesQueuedCalls) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 500;
  auto Mesh = makeMesh(10, {}, {}, 1, Slow);
  Snapshot Granted = makeConfig();
  Granted.Keys.push_back({"first", "large", Digest::sha256("secret")});
  Mesh->setSnapshot(std::make_shared<const Snapshot>(Granted));
  for (int I = 0; I < 60; ++I) {
    CallRequest Request = makeRequest("tag" + std::to_string(I), false);
    Request.CanWait = true;
    Request.KeyDigestPrefix = keyDigestPrefix(Digest::sha256("secret"));
    Mesh->submit(0, Request);
  }
  Mesh->runFor(100'000);

  Mesh->setSnapshot(std::make_shared<const Snapshot>(makeConfig()));
  Mesh->runFor(10 * SecondUs);

  std::size_t Revoked = 0;
  for (const FakeCall &Call : Mesh->Calls)
    if (Call.Answer.Reason == ResultCode::KeyWithdrawn)
      ++Revoked;
  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  CHECK(Revoked >= 60 - 3 * Slots);
}
