#include "support/Property.h"

#include "calls/MeshFixture.h"

#include <algorithm>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint32_t Slots = 6;

/// Longest that any caller of the fixture's requests waits: the deadline, the
/// grace after it, and ticks.
constexpr std::int64_t LongestWaitUs = 2'000'000 + 150'000;

constexpr std::int64_t PauseUs = 3 * SecondUs;

/// Does one fault that may come at any moment.
void disturb(FakeCallMesh &Mesh, int Kind, std::size_t At) {
  const std::size_t Other = (At + 1) % Mesh.Nodes.size();
  switch (Kind) {
  case 0:
    Mesh.Nodes[At]->Target->crash();
    break;
  case 1:
    Mesh.Nodes[At]->Target->chill();
    break;
  case 2:
    Mesh.pauseNode(At, PauseUs);
    break;
  case 3:
    Mesh.silence(Other, At);
    break;
  case 4:
    // Only the target's side of a node may die: calls that entered there are
    // lost with their caller's connection.
    if (At != 0) {
      Mesh.killNode(At);
      Mesh.startNode(At);
      Mesh.tellInstances();
    }
    break;
  default: {
    Snapshot Next = smallConfig();
    Next.Domains["west"].Status =
        Mesh.Config->Domains.at("west").Status == DomainStatus::In
            ? DomainStatus::Out
            : DomainStatus::In;
    Mesh.setSnapshot(std::make_shared<const Snapshot>(Next));
  }
  }
}

double shareOk(const FakeCallMesh &Mesh, std::size_t From = 0) {
  std::size_t Ok = 0;
  for (std::size_t I = From; I < Mesh.Calls.size(); ++I)
    if (Mesh.Calls[I].Answer.Status == 200)
      ++Ok;
  return static_cast<double>(Ok) /
         static_cast<double>(Mesh.Calls.size() - From);
}

} // namespace

TEST_GROUP(CallCore){};

// The promises of calls, over whole runs with lost, late, doubled and crossed
// messages, silent connections, pauses, crashes and restarts.
TEST(CallCore, KeepsItsPromisesThroughAnyFaults) {
  checkProperty("answers once, runs at most once, tells the truth", [] {
    FakeNetworkOptions Network;
    Network.Loss = *rc::gen::element(0.0, 0.02, 0.2);
    Network.Double = *rc::gen::element(0.0, 0.3);
    Network.Late = *rc::gen::element(0.0, 0.2);
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Mesh = smallMesh(Seed, {}, Network);
    std::mt19937_64 Random(Seed);
    const auto Faults = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 6), rc::gen::inRange(0, 3)));
    std::size_t Next = 0;

    for (int I = 0; I < 300; ++I) {
      const int At = static_cast<int>(Random() % 100);
      Mesh->submit(0, requestOf("tag" + std::to_string(I), At % 2 == 0));
      if (At < 10 && Next < Faults.size()) {
        disturb(*Mesh, Faults[Next].first,
                static_cast<std::size_t>(Faults[Next].second));
        ++Next;
      }
      Mesh->runFor(At * 400);
    }
    Mesh->runFor(20 * SecondUs);

    const std::string Broken = brokenInvariant(*Mesh, Slots);
    if (!Broken.empty())
      RC_FAIL(Broken);
    // A paused entry node answers nobody until it wakes.
    const bool EntryPaused = std::find(Faults.begin(), Faults.end(),
                                       std::pair(2, 0)) != Faults.end();
    const std::int64_t BoundUs =
        LongestWaitUs +
        (EntryPaused ? static_cast<std::int64_t>(Faults.size()) * PauseUs : 0);
    for (const FakeCall &Call : Mesh->Calls)
      RC_ASSERT(Call.AnsweredUs - Call.SentUs <= BoundUs);
  });
}

TEST(CallCore, AnswersEveryCallOfAHealthyMesh) {
  auto Mesh = smallMesh(1, {}, {});

  for (int I = 0; I < 1000; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 requestOf("tag" + std::to_string(I), false));
    Mesh->runFor(3000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
  DOUBLES_EQUAL(1.0, shareOk(*Mesh), 0);
}

// A lost request and a lost answer look the same to the entry node, until it
// asks; neither may cost a non-idempotent call its answer.
TEST(CallCore, TellsALostRequestFromALostAnswer) {
  FakeNetworkOptions Network;
  Network.Loss = 0.05;
  auto Mesh = smallMesh(2, {}, Network);

  for (int I = 0; I < 1000; ++I) {
    Mesh->submit(0, requestOf("tag" + std::to_string(I), false));
    Mesh->runFor(10'000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
  CHECK(shareOk(*Mesh) > 0.99);
}

TEST(CallCore, SilentConnectionCostsABoundedDelayAndNoAnswer) {
  auto Mesh = smallMesh(3, {}, {});
  Mesh->silence(0, 1);
  Mesh->silence(0, 2);
  const CallSettings Settings;
  // One silence, one question, and the request again over a fresh connection.
  const std::int64_t BoundUs =
      (Settings.HeartbeatInterval * 2 + Settings.FetchTimeout).Value * 1000;

  for (int I = 0; I < 400; ++I) {
    Mesh->submit(0, requestOf("tag" + std::to_string(I), false));
    Mesh->runFor(3000);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
  for (const FakeCall &Call : Mesh->Calls) {
    LONGS_EQUAL(200, Call.Answer.Status);
    CHECK(Call.AnsweredUs - Call.SentUs <= BoundUs);
  }
}

TEST(CallCore, DomainTakenOutGetsNoNewWorkAndItsCallersAreServedElsewhere) {
  auto Mesh = smallMesh(4, {}, {});
  Snapshot Out = smallConfig();
  Out.Domains["east"].Status = DomainStatus::Out;
  Mesh->setSnapshot(std::make_shared<const Snapshot>(Out));
  const std::uint32_t Before =
      static_cast<std::uint32_t>(Mesh->Nodes[0]->Target->RunsOf.size());

  for (int I = 0; I < 200; ++I) {
    Mesh->submit(0, requestOf("tag" + std::to_string(I), false));
    Mesh->runFor(10'000);
  }
  Mesh->runFor(3 * SecondUs);

  LONGS_EQUAL(Before, Mesh->Nodes[0]->Target->RunsOf.size());
  DOUBLES_EQUAL(1.0, shareOk(*Mesh), 0);
}

// Known not to be served, a request is refused while its caller can still come
// back: a target may be there by then.
TEST(CallCore, TellsACallerInTimeThatThereIsNoTarget) {
  auto Mesh = smallMesh(6, {}, {});
  CallRequest Request = requestOf("tag", false);
  Request.Service = "unserved";
  const std::int64_t TimeUs = Request.Remaining.Value * 1000;

  Mesh->submit(0, Request);
  Mesh->runFor(TimeUs / 2);

  const FakeCall &Call = Mesh->Calls[0];
  LONGS_EQUAL(1, Call.Answers);
  LONGS_EQUAL(503, Call.Answer.Status);
  CHECK(ResultCode::NoTargetAvailable == Call.Answer.Reason);
  CHECK(Outcome::NotRun == Call.Answer.Ran);
}

TEST(CallCore, GracefulShutdownCutsNoRequest) {
  auto Mesh = smallMesh(5, {}, {});

  for (int I = 0; I < 300; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 requestOf("tag" + std::to_string(I), false));
    if (I == 150)
      Mesh->Nodes[1]->Core->setDraining();
    Mesh->runFor(5000);
  }
  Mesh->runFor(5 * SecondUs);

  CHECK_TRUE(Mesh->Nodes[1]->Core->idle());
  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
  for (std::size_t I = 0; I < Mesh->Calls.size(); ++I) {
    // Callers that go on using the leaving node are told that it leaves.
    const bool ToLeaving = I % 3 == 1 && I > 150;
    const FakeCall &Call = Mesh->Calls[I];
    LONGS_EQUAL(ToLeaving ? 503 : 200, Call.Answer.Status);
  }
}

TEST(CallCore, StopsARequestThatCrashesTargetsAndServesTheRest) {
  auto Mesh = smallMesh(6, {}, {});

  for (int I = 0; I < 600; ++I) {
    const bool Crashing = I % 20 == 0;
    Mesh->submit(
        static_cast<std::size_t>(I) % 3,
        requestOf(Crashing ? CrashBody : "tag" + std::to_string(I), true));
    Mesh->runFor(20'000);
  }
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(CallSettings().CrashLimit, crashesOf(*Mesh));
  std::size_t Served = 0;
  for (std::size_t I = 0; I < Mesh->Calls.size(); ++I)
    if (I % 20 != 0 && Mesh->Calls[I].Answer.Status == 200)
      ++Served;
  CHECK_TRUE_TEXT(Served > 560, std::to_string(Served).c_str());
}

TEST(CallCore, OrganisationThatSendsFiveTimesItsShareDoesNotDelayTheOther) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 50;
  auto Mesh = smallMesh(7, {}, {}, 1, Slow);
  // Three targets of 6 slots at 50 ms bear 360 calls a second.
  constexpr int Rounds = 1500;

  for (int I = 0; I < Rounds; ++I) {
    CallRequest Large = requestOf("large" + std::to_string(I), true);
    Mesh->submit(static_cast<std::size_t>(I) % 3, Large);
    if (I % 5 == 0) {
      CallRequest Small = requestOf("small" + std::to_string(I), true);
      Small.Organisation = "small";
      Mesh->submit(static_cast<std::size_t>(I) % 3, Small);
    }
    Mesh->runFor(1500);
  }
  Mesh->runFor(5 * SecondUs);

  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
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

TEST(CallCore, CallsThatCanWaitAreNeverTurnedAwayUnderOverload) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 50;
  CallSettings Tight;
  Tight.MaxHeldBytes = 64 << 10;
  auto Mesh = smallMesh(8, Tight, {}, 1, Slow);

  for (int I = 0; I < 1500; ++I) {
    CallRequest Request = requestOf("tag" + std::to_string(I), false);
    Request.CanWait = I % 4 == 0;
    Mesh->submit(static_cast<std::size_t>(I) % 3, Request);
    Mesh->runFor(1500);
  }
  Mesh->runFor(70 * SecondUs);

  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
  for (std::size_t I = 0; I < Mesh->Calls.size(); I += 4)
    LONGS_EQUAL(200, Mesh->Calls[I].Answer.Status);
}

// Only runs renew the latency that is expected of a target, so an expectation
// that turns every call away must not last.
TEST(CallCore, SlowAnswersDoNotShutOutShorterCallsForGood) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 1200;
  auto Mesh = smallMesh(9, {}, {}, 1, Slow);
  for (std::size_t I = 0; I < 9; ++I)
    Mesh->submit(I % 3, requestOf("slow" + std::to_string(I), true));
  Mesh->runFor(20 * SecondUs);

  CallRequest Short = requestOf("short", true);
  Short.Remaining = DurationMs(1000);
  Mesh->submit(0, Short);
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(1, Mesh->runsOf("short"));
}

// With its ledger asked and its fences, the node beside the target can tell;
// a plain retry cannot, and the model shows it.
TEST(CallCore, PlainRetryOfTheComparisonRunsACallTwice) {
  CallSettings Settings;
  Settings.Retry = RetryMode::Plain;
  FakeNetworkOptions Network;
  Network.Loss = 0.1;
  auto Mesh = smallMesh(9, Settings, Network);

  for (int I = 0; I < 300; ++I) {
    Mesh->submit(0, requestOf("tag" + std::to_string(I), false));
    Mesh->runFor(10'000);
  }
  Mesh->runFor(5 * SecondUs);

  CHECK_FALSE(brokenInvariant(*Mesh, Slots).empty());
}

TEST(CallCore, WithdrawnKeyStopsCallsThatWait) {
  FakeTargetOptions Slow;
  Slow.MeanMs = 500;
  auto Mesh = smallMesh(10, {}, {}, 1, Slow);
  Snapshot Granted = smallConfig();
  Granted.Keys.push_back({"first", "large", Digest::of("secret")});
  Mesh->setSnapshot(std::make_shared<const Snapshot>(Granted));
  for (int I = 0; I < 60; ++I) {
    CallRequest Request = requestOf("tag" + std::to_string(I), false);
    Request.CanWait = true;
    Request.KeyDigestPrefix = keyDigestPrefix(Digest::of("secret"));
    Mesh->submit(0, Request);
  }
  Mesh->runFor(100'000);

  Mesh->setSnapshot(std::make_shared<const Snapshot>(smallConfig()));
  Mesh->runFor(10 * SecondUs);

  std::size_t Revoked = 0;
  for (const FakeCall &Call : Mesh->Calls)
    if (Call.Answer.Reason == ResultCode::KeyWithdrawn)
      ++Revoked;
  STRCMP_EQUAL("", brokenInvariant(*Mesh, Slots).c_str());
  CHECK(Revoked >= 60 - 3 * Slots);
}
