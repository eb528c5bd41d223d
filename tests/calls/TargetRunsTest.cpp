#include "support/Property.h"

#include "calls/MeshFixture.h"
#include "calls/TargetSide.h"

#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint64_t OwnIncarnation = 7;

/// The target side of one node, whose runs the test ends.
struct OneTarget {
  TimeMs Now{10'000};
  std::vector<RunHook> Runs;
  std::vector<std::function<void(const ProbeResult &)>> Probes;
  std::vector<CallReply> Replies;
  CallContext Context;
  TargetSide Side;

  OneTarget()
      : Context(identity(), settings(), hooks(), Clock([this] { return Now; })),
        Side(Context, {[] { return std::size_t{0}; },
                       [](std::string_view) { return false; }}) {
    Context.Config = std::make_shared<const Snapshot>(makeConfig());
    Side.onConfig();
  }

  static CallIdentity identity() {
    CallIdentity Self;
    Self.Name = "east/queue-0";
    Self.Domain = "east";
    Self.Service = "queue";
    Self.Incarnation = OwnIncarnation;
    Self.TargetListed = true;
    return Self;
  }

  static CallSettings settings() {
    CallSettings Settings;
    Settings.Admission = AdmissionMode::Slots;
    return Settings;
  }

  /// Ends a run with an answer.
  void answer(std::size_t Run) {
    RunResult Result;
    Result.Answer = CallAnswer{200, {}, "body", Outcome::Ran, ResultCode::Ok};
    Runs.at(Run)(std::move(Result));
  }

  /// Ends a run without an answer.
  void fail(std::size_t Run, RunFailure Failure, ResultCode Reason) {
    RunResult Result;
    Result.Failure = Failure;
    Result.Reason = Reason;
    Result.RunOutcome =
        Failure == RunFailure::NotReached ? Outcome::NotRun : Outcome::Unknown;
    Runs.at(Run)(std::move(Result));
  }

  CallHooks hooks() {
    CallHooks Hooks;
    Hooks.Target.Probe =
        [this](const std::function<void(const ProbeResult &)> &OnResult) {
          Probes.push_back(OnResult);
        };
    Hooks.Target.Run = [this](const CallRequest &, DurationMs,
                              const RunHook &OnResult) {
      Runs.push_back(OnResult);
    };
    return Hooks;
  }

  void list(const std::string &Id, std::uint64_t Revision) {
    ListedInstance Entry;
    Entry.TargetId = Id;
    Entry.Service = "queue";
    Entry.Slots = 6;
    Entry.Revision = Revision;
    Side.onListed(Entry);
  }

  void start(std::uint64_t Sequence) {
    CallStart Start;
    Start.Recipient = OwnIncarnation;
    Start.Request = makeRequest("tag", true);
    Start.Request.Id = {1, Sequence};
    Start.Request.Remaining = DurationMs(2000);
    Side.start(std::move(Start),
               [this](const CallReply &Reply) { Replies.push_back(Reply); });
  }

  /// Another target than the one that the request named has answered.
  void endAsMistaken(std::size_t Run) {
    RunResult Result;
    Result.Failure = RunFailure::NotSent;
    Result.Reason = ResultCode::TargetMistaken;
    Result.RunOutcome = Outcome::NotRun;
    Runs.at(Run)(std::move(Result));
  }
};

} // namespace

TEST_GROUP(TargetRuns){};

// A target that restarts before the probe reaches it looks healthy. Its crash
// is detected by the other runs that it lost.
TEST(TargetRuns, QuarantinesARequestWhoseTargetsRestartImmediately) {
  FakeTargetOptions QuickRestart;
  QuickRestart.RestartUs = 0;
  QuickRestart.ColdUs = 0;
  QuickRestart.MeanMs = 50;
  auto Mesh = makeMesh(11, {}, {}, 1, QuickRestart);

  for (int I = 0; I < 600; ++I) {
    Mesh->submit(static_cast<std::size_t>(I) % 3,
                 makeRequest(I % 100 == 50 ? CrashBody : "tag", true));
    Mesh->runFor(5'000);
  }
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(CallSettings().CrashLimit, crashCount(*Mesh));
}

// The entry of the target that is gone may be removed before the one of its
// successor is written.
TEST(TargetRuns, UsesASuccessorOnceItIsListedThoughThereWasNoEntryBefore) {
  OneTarget Node;
  Node.list("first", 4);
  Node.start(1);
  Node.endAsMistaken(0);
  Node.Now = Node.Now + DurationMs(100);
  Node.Side.onListed(std::nullopt);

  Node.Now = Node.Now + DurationMs(100);
  Node.list("second", 6);
  Node.start(2);

  LONGS_EQUAL(2, Node.Runs.size());
}

// The answer concerns the target that the request named.
TEST(TargetRuns, LateAnswerOfAMistakenRunDoesNotStopTheSuccessor) {
  OneTarget Node;
  Node.list("first", 4);
  Node.start(1);
  Node.list("second", 6);

  Node.endAsMistaken(0);
  Node.start(2);

  LONGS_EQUAL(2, Node.Runs.size());
}

// A target that is full answers no probe, and some reset new connections.
TEST(TargetRuns, FullTargetThatAnswersItsRunsIsNotDown) {
  OneTarget Node;
  Node.list("first", 4);
  for (std::uint64_t I = 1; I <= 3; ++I)
    Node.start(I);
  Node.fail(0, RunFailure::Broken, ResultCode::TargetConnectionLost);
  LONGS_EQUAL(1, Node.Probes.size());

  Node.Now = Node.Now + DurationMs(100);
  Node.answer(1);
  Node.start(4);
  Node.Now = Node.Now + DurationMs(400);
  Node.Probes[0]({});
  Node.start(5);

  LONGS_EQUAL(5, Node.Runs.size());
  LONGS_EQUAL(0, Node.Context.Counters.Crashes);
}

TEST(TargetRuns, ConnectionThatTimesOutBesideAnswersDoesNotTakeTheTargetDown) {
  OneTarget Node;
  Node.list("first", 4);
  Node.start(1);
  Node.start(2);
  Node.Now = Node.Now + DurationMs(100);
  Node.answer(0);

  Node.fail(1, RunFailure::NotReached, ResultCode::TargetUnreachable);
  Node.start(3);

  LONGS_EQUAL(3, Node.Runs.size());
}

TEST(TargetRuns, RefusedConnectionBesideRunsIsProbedBeforeCallsAreRefused) {
  OneTarget Node;
  Node.list("first", 4);
  Node.start(1);
  Node.start(2);

  Node.fail(1, RunFailure::NotReached, ResultCode::TargetUnreachable);
  Node.start(3);

  LONGS_EQUAL(1, Node.Probes.size());
  LONGS_EQUAL(1, Node.Replies.size());
  Node.Probes[0]({true});
  LONGS_EQUAL(3, Node.Runs.size());
}

TEST(TargetRuns, TargetThatRefusesConnectionsAndHasNoRunsIsDown) {
  OneTarget Node;
  Node.list("first", 4);
  Node.start(1);

  Node.fail(0, RunFailure::NotReached, ResultCode::TargetUnreachable);
  Node.start(2);

  LONGS_EQUAL(1, Node.Runs.size());
  CHECK(ResultCode::TargetDown == Node.Replies.back().Reason);
}

TEST(TargetRuns, LostConnectionsToHealthyTargetsQuarantineNoRequest) {
  checkProperty("a lost connection is not a crash", [] {
    const auto Seed = *rc::gen::arbitrary<std::uint64_t>();
    auto Mesh = makeMesh(Seed, {}, {});
    std::mt19937_64 Random(Seed);

    for (int I = 0; I < 300; ++I) {
      Mesh->submit(static_cast<std::size_t>(I) % 3, makeRequest("same", true));
      if (I % 10 == 0)
        for (const auto &Node : Mesh->Nodes)
          Node->Target->loseConnection();
      Mesh->runFor(static_cast<std::int64_t>(Random() % 10'000));
    }
    Mesh->runFor(5 * SecondUs);

    for (const FakeCall &Call : Mesh->Calls)
      RC_ASSERT(Call.Answer.Reason != ResultCode::RequestCrashesTargets);
  });
}
