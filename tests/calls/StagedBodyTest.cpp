// Tests of large request bodies that cross to their target in pieces, over a
// receiving link of 13 Mbit/s.

#include "calls/MeshFixture.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr int Slots = 6;
constexpr double Mbps = 13;
constexpr std::uint64_t BytesPerMs = 1625;
constexpr std::size_t BodyBytes = 60'000;
constexpr std::size_t EntryNodes = 6;

/// Two pieces, which pass the link in 10 ms each, and the longest runs of small
/// calls.
constexpr std::int64_t PieceAndRunUs = 35'000;

std::string bodyOf(std::size_t Number, std::size_t Bytes) {
  std::string Body = "body " + std::to_string(Number) + " ";
  while (Body.size() < Bytes)
    Body += static_cast<char>('a' + (Body.size() * 7 + Number) % 23);
  return Body;
}

Snapshot bodyConfig() {
  Snapshot Config = makeConfig();
  Config.Organisations.clear();
  Config.Routes.front().Access = RouteAccess::Open;
  Route Receipt = Config.Routes.front();
  Receipt.Name = "receipt";
  Receipt.LargeBody = true;
  Receipt.Objective = DurationMs(600);
  Config.Routes.push_back(Receipt);
  return Config;
}

} // namespace

TEST_GROUP(StagedBody) {
  std::unique_ptr<FakeCallMesh> Mesh;
  std::vector<std::size_t> Small; ///< Small calls, by number.
  std::size_t FirstEntry = 0;

  /// Builds a mesh whose targets are \p Targets nodes of the service; all
  /// requests enter at other nodes.
  void build(double LinkMbps, std::size_t Targets,
             FakeNetworkOptions Network = {}, std::uint64_t Seed = 1) {
    CallSettings Settings;
    Settings.LinkMbps = LinkMbps;
    Network.ReceiveBytesPerMs = BytesPerMs;
    Mesh = std::make_unique<FakeCallMesh>(Seed, Settings, Network);
    FakeTargetOptions Target;
    Target.MeanMs = 2;
    for (std::size_t I = 0; I < Targets; ++I)
      Mesh->addNode("east/queue-" + std::to_string(I), "east", "queue", Target);
    FirstEntry = Targets;
    for (std::size_t I = 0; I < EntryNodes; ++I)
      Mesh->addNode("east/front-" + std::to_string(I), "east", "front", {});
    Mesh->setSnapshot(std::make_shared<const Snapshot>(bodyConfig()));
    Mesh->publishInstances();
    Mesh->runFor(20 * SecondUs);
  }

  std::size_t submit(CallRequest Request) {
    const std::size_t Number = Mesh->Calls.size();
    return Mesh->submit(FirstEntry + Number % EntryNodes, std::move(Request));
  }

  std::size_t submitBody(std::size_t Bytes = BodyBytes) {
    CallRequest Request = makeRequest(bodyOf(Mesh->Calls.size(), Bytes), false);
    Request.Organisation.clear();
    Request.Route = "receipt";
    Request.Priority = callPriority(0, 1);
    Request.Remaining = DurationMs(1500);
    return submit(Request);
  }

  void submitSmall() {
    CallRequest Request =
        makeRequest("small " + std::to_string(Mesh->Calls.size()), true);
    Request.Organisation.clear();
    Small.push_back(submit(Request));
  }

  /// Bursts of 12 bodies to one target beside 50 small calls a second.
  void offerBodiesBesideSmallCalls() {
    for (int Tick = 0; Tick < 400; ++Tick) {
      if (Tick % 50 == 0)
        for (int I = 0; I < 12; ++I)
          submitBody();
      if (Tick % 2 == 0)
        submitSmall();
      Mesh->runFor(10'000);
    }
    Mesh->runFor(5 * SecondUs);
  }

  std::int64_t latencyUs(std::size_t Number) const {
    const FakeCall &Call = Mesh->Calls.at(Number);
    return Call.AnsweredUs - Call.SentUs;
  }

  std::int64_t slowestSmallUs() const {
    std::int64_t Slowest = 0;
    for (const std::size_t Number : Small)
      Slowest = std::max(Slowest, latencyUs(Number));
    return Slowest;
  }

  std::size_t count(ResultCode Reason) const {
    return static_cast<std::size_t>(std::count_if(
        Mesh->Calls.begin(), Mesh->Calls.end(), [Reason](const FakeCall &Call) {
          return Call.Answer.Reason == Reason;
        }));
  }

  void checkNoBodyIsHeld() const {
    for (const auto &Node : Mesh->Nodes) {
      LONGS_EQUAL(0, Node->Core->status().StagedBodies);
      LONGS_EQUAL(0, Node->Core->status().BodyBytes);
    }
  }
};

// Shows the fault that staging mends: bodies in one message each keep the link
// of the target's node busy for hundreds of milliseconds.
TEST(StagedBody, DelaysSmallCallsWithoutTheSetting) {
  build(0, 1);
  offerBodiesBesideSmallCalls();

  CHECK_COMPARE(slowestSmallUs(), >, 300'000);
}

TEST(StagedBody, DelaysSmallCallsByAboutAPiece) {
  build(Mbps, 1);
  offerBodiesBesideSmallCalls();

  CHECK_COMPARE(slowestSmallUs(), <, PieceAndRunUs);
  LONGS_EQUAL(Mesh->Calls.size(), count(ResultCode::Ok));
  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  checkNoBodyIsHeld();
}

// Guards against a transfer that waits for a round trip after each piece.
TEST(StagedBody, FillsAnIdleLinkAlone) {
  constexpr std::size_t Bytes = 1'500'000;
  build(Mbps, 1);

  const std::size_t Number = submitBody(Bytes);
  Mesh->runFor(3 * SecondUs);

  const auto LinkUs = static_cast<std::int64_t>(Bytes * 1000 / BytesPerMs);
  LONGS_EQUAL(200, Mesh->Calls.at(Number).Answer.Status);
  CHECK_COMPARE(latencyUs(Number), <, LinkUs * 115 / 100);
}

// Guards against bodies that cross a link only to be refused or to time out.
TEST(StagedBody, RefusesBeforeTheTransferWhatTheLinkCannotCarryInTime) {
  constexpr std::size_t Offered = 150;
  build(Mbps, 1);
  Mesh->BytesSent = 0;
  for (std::size_t I = 0; I < Offered; ++I)
    submitBody();
  Mesh->runFor(4 * SecondUs);

  const std::size_t Served = count(ResultCode::Ok);
  LONGS_EQUAL(Offered, Served + count(ResultCode::LinkBusy));
  // In the time of a request, the link carries 38 bodies with what each message
  // adds to them.
  CHECK_COMPARE(Served, >=, 30);
  CHECK_COMPARE(Mesh->BytesSent, <, Served * BodyBytes * 105 / 100 + 100'000);
  for (const FakeCall &Call : Mesh->Calls) {
    if (Call.Answer.Reason != ResultCode::LinkBusy)
      continue;
    LONGS_EQUAL(503, Call.Answer.Status);
    CHECK(Outcome::NotRun == Call.Answer.RequestOutcome);
  }
  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
}

// Guards against memory that is held for callers who have gone.
TEST(StagedBody, FreesTheBodyOfACancelledCall) {
  build(Mbps, 1);
  const std::size_t Number = submitBody(400'000);
  Mesh->runFor(100'000);
  LONGS_EQUAL(1, Mesh->Nodes[0]->Core->status().StagedBodies);

  Mesh->Nodes[FirstEntry + Number % EntryNodes]->Core->cancel(Number + 1);
  Mesh->runFor(10'000);

  checkNoBodyIsHeld();
  CHECK(Outcome::NotRun == Mesh->Calls.at(Number).Answer.RequestOutcome);
  Mesh->runFor(2 * SecondUs);
  LONGS_EQUAL(0, Mesh->runsOf(Mesh->Calls.at(Number).Tag));
}

// Guards against bodies whose senders crashed.
TEST(StagedBody, FreesTheBodyOfASilentSender) {
  build(Mbps, 1);
  const std::size_t Number = submitBody(400'000);
  Mesh->runFor(100'000);

  Mesh->killNode(FirstEntry + Number % EntryNodes);
  Mesh->runFor(2 * SecondUs);

  LONGS_EQUAL(0, Mesh->Nodes[0]->Core->status().BodyBytes);
  LONGS_EQUAL(0, Mesh->runsOf(Mesh->Calls.at(Number).Tag));
}

// Guards against a request that is given up, or runs with part of its body, as
// the node that held the body has restarted. It has not run, so it may move.
TEST(StagedBody, MovesFromANodeThatRestartsDuringTheTransfer) {
  build(Mbps, 2);
  const std::size_t Number = submitBody(400'000);
  Mesh->runFor(100'000);
  const std::size_t At =
      Mesh->Nodes[0]->Core->status().StagedBodies > 0 ? 0 : 1;

  Mesh->killNode(At);
  Mesh->startNode(At);
  Mesh->publishInstances();
  Mesh->runFor(4 * SecondUs);

  LONGS_EQUAL(200, Mesh->Calls.at(Number).Answer.Status);
  LONGS_EQUAL(1, Mesh->runsOf(Mesh->Calls.at(Number).Tag));
  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
}

// Guards against limits below those of callers: one message carries 2 MiB.
TEST(StagedBody, ServesASingleBodyOfTheCallersLimit) {
  build(200, 1);
  Mesh->Network.ReceiveBytesPerMs = 25'000;
  Mesh->Network.LinkBytesPerMs = 25'000;
  CallRequest Request = makeRequest(bodyOf(0, MaxStagedBodyBytes), false);
  Request.Organisation.clear();
  Request.Route = "receipt";
  Request.Remaining = DurationMs(10'000);

  submit(Request);
  std::size_t MostBytes = 0;
  for (int I = 0; I < 200; ++I) {
    Mesh->runFor(10'000);
    MostBytes = std::max(MostBytes, Mesh->Nodes[0]->Core->status().BodyBytes);
  }

  LONGS_EQUAL(200, Mesh->Calls.front().Answer.Status);
  LONGS_EQUAL(MaxStagedBodyBytes, MostBytes);
  STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
  checkNoBodyIsHeld();
}

// Guards against requests that run twice or with a wrong body, and against
// bodies that are kept, whatever the network and the nodes do.
TEST(StagedBody, KeepsTheInvariantsThroughFaults) {
  for (std::uint64_t Seed = 1; Seed <= 12; ++Seed) {
    FakeNetworkOptions Network;
    Network.Loss = 0.01;
    Network.Duplicate = 0.05;
    Network.Late = 0.01;
    build(Mbps, 3, Network, Seed);
    for (int I = 0; I < 200; ++I) {
      const std::size_t Number = submitBody(I % 4 == 0 ? 200'000 : BodyBytes);
      if (I % 10 == 5)
        Mesh->Nodes[FirstEntry + Number % EntryNodes]->Core->cancel(Number + 1);
      Mesh->runFor(30'000);
      if (I % 11 == 3)
        Mesh->Nodes[FirstEntry + Number % EntryNodes]->Core->cancel(Number + 1);
      if (I % 40 == 20) {
        Mesh->killNode(I / 40 % 3);
        Mesh->startNode(I / 40 % 3);
        Mesh->publishInstances();
      }
    }
    Mesh->runFor(8 * SecondUs);

    STRCMP_EQUAL("", invariantViolation(*Mesh, Slots).c_str());
    checkNoBodyIsHeld();
    CHECK_COMPARE(count(ResultCode::Ok), >, Mesh->Calls.size() / 2);
  }
}
