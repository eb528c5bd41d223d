// Tests of large answers on a narrow link, in virtual time: small answers
// beside them, the use of the link, and admission by what it carries.

#include "calls/MeshFixture.h"
#include "policy/LinkSchedule.h"

#include <algorithm>
#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::int64_t BytesPerMs = 1250; // 10 Mbit/s.
constexpr std::size_t DownloadBytes = 100'000;
constexpr std::size_t EntryNodes = 3;

Snapshot makeLinkConfig() {
  Snapshot Config = makeConfig();
  Config.Organisations.clear();
  Config.Services["front"] = {"front", 6};
  Config.Routes.front().Access = RouteAccess::Open;
  Route Download = Config.Routes.front();
  Download.Name = "download";
  Download.Objective = DurationMs(1500);
  Download.Timeout = DurationMs(3000);
  Config.Routes.push_back(Download);
  return Config;
}

CallRequest requestOf(const std::string &Route, const std::string &Tag) {
  CallRequest Request = makeRequest(Tag, true);
  Request.Organisation.clear();
  Request.Priority = callPriority(0, 0);
  Request.Route = Route;
  Request.Remaining = DurationMs(Route == "download" ? 3000 : 500);
  return Request;
}

} // namespace

TEST_GROUP(LinkMesh) {
  FakeNetworkOptions Network;
  FakeTargetOptions Target;
  CallSettings Settings;
  std::unique_ptr<FakeCallMesh> Mesh;
  std::vector<std::size_t> Downloads;
  std::vector<std::size_t> Reads;

  void setup() override {
    Network.LinkBytesPerMs = BytesPerMs;
    Target.MeanMs = 2;
    Target.PaddingOfRoute["download"] = DownloadBytes;
    Settings.LinkMbps = 10;
  }

  /// One node with a target of the service, and others where calls enter. The
  /// target's node has learned the size of a download.
  void startMesh() {
    Mesh = std::make_unique<FakeCallMesh>(1, Settings, Network);
    Mesh->addNode("east/queue-0", "east", "queue", Target);
    for (std::size_t I = 0; I < EntryNodes; ++I)
      Mesh->addNode("north/front-" + std::to_string(I), "north", "front", {});
    Mesh->setSnapshot(std::make_shared<const Snapshot>(makeLinkConfig()));
    Mesh->publishInstances();
    Mesh->runFor(20 * SecondUs);
    Mesh->submit(1, requestOf("download", "first"));
    Mesh->runFor(5 * SecondUs);
  }

  std::size_t submit(const std::string &Route) {
    const std::size_t Number = Mesh->Calls.size();
    return Mesh->submit(1 + Number % EntryNodes,
                        requestOf(Route, Route + std::to_string(Number)));
  }

  /// A burst of downloads, and a read every 10 ms for a second.
  void offerBurst(int Count) {
    for (int I = 0; I < Count; ++I)
      Downloads.push_back(submit("download"));
    for (int I = 0; I < 100; ++I) {
      Reads.push_back(submit("read"));
      Mesh->runFor(SecondUs / 100);
    }
    Mesh->runFor(5 * SecondUs);
  }

  std::int64_t durationMs(std::size_t Number) const {
    const FakeCall &Call = Mesh->Calls.at(Number);
    return (Call.AnsweredUs - Call.SentUs) / VirtualTime::UsPerMs;
  }

  std::int64_t longestMs(const std::vector<std::size_t> &Numbers) const {
    std::int64_t Longest = 0;
    for (const std::size_t Number : Numbers)
      Longest = std::max(Longest, durationMs(Number));
    return Longest;
  }

  std::size_t answeredWhole(const std::vector<std::size_t> &Numbers) const {
    return static_cast<std::size_t>(
        std::count_if(Numbers.begin(), Numbers.end(), [this](std::size_t I) {
          return Mesh->Calls.at(I).Answer.Status == 200;
        }));
  }

  void checkInvariants() const {
    STRCMP_EQUAL("", invariantViolation(*Mesh, 6).c_str());
  }
};

// The failure that the schedule prevents, so that the next test is known to
// load the link.
TEST(LinkMesh, WithoutTheScheduleSmallAnswersAreLate) {
  Settings.LinkMbps = 0;
  startMesh();
  offerBurst(8);

  CHECK_COMPARE(longestMs(Reads), >, 150);
  checkInvariants();
}

// Guards against head-of-line blocking, an idle link while answers wait for it,
// and pieces that are sent twice.
TEST(LinkMesh, SmallAnswersWaitForAboutAPieceBesideABurst) {
  startMesh();
  const std::uint64_t BytesBefore = Mesh->BytesSent;
  offerBurst(8);

  const std::int64_t PieceMs = LinkPieceBytes / BytesPerMs;
  CHECK_COMPARE(longestMs(Reads), <, 3 * PieceMs);
  LONGS_EQUAL(Reads.size(), answeredWhole(Reads));
  LONGS_EQUAL(Downloads.size(), answeredWhole(Downloads));
  const auto LinkMs =
      static_cast<std::int64_t>(Downloads.size() * DownloadBytes) / BytesPerMs;
  CHECK_COMPARE(longestMs(Downloads), <, LinkMs * 110 / 100);
  CHECK_COMPARE(Mesh->BytesSent - BytesBefore, <,
                Downloads.size() * DownloadBytes * 110 / 100);
  checkInvariants();
}

// Guards against a link that is idle for a round trip after each piece.
TEST(LinkMesh, OneTransferAloneUsesTheLink) {
  Network.DelayUs = SecondUs / 1000;
  Target.PaddingOfRoute["download"] = 540'000;
  startMesh();
  Downloads.push_back(submit("download"));
  Mesh->runFor(5 * SecondUs);

  LONGS_EQUAL(1, answeredWhole(Downloads));
  CHECK_COMPARE(durationMs(Downloads[0]), <, 540'000 / BytesPerMs * 105 / 100);
}

// Guards against pacing that is slower than the larger pieces of a node without
// a schedule on a link of 200 Mbit/s.
TEST(LinkMesh, OneTransferOnAFastLinkTakesNoLongerThanWithoutTheSchedule) {
  Network.LinkBytesPerMs = 25'000;
  Target.PaddingOfRoute["download"] = 540'000;
  std::int64_t Duration[2];
  for (const bool Scheduled : {false, true}) {
    Settings.LinkMbps = Scheduled ? 200 : 0;
    startMesh();
    const std::size_t Number = submit("download");
    Mesh->runFor(5 * SecondUs);
    LONGS_EQUAL(200, Mesh->Calls.at(Number).Answer.Status);
    Duration[Scheduled ? 1 : 0] = durationMs(Number);
  }

  CHECK_COMPARE(Duration[1], <=, Duration[0] * 3 / 2);
}

// Guards against an answer that waits for its turn for longer than the timeout
// of a fetch, and counts as the silence of its node.
TEST(LinkMesh, WaitingAnswerIsNotTakenForASilentNode) {
  Settings.FetchTimeout = DurationMs(100);
  startMesh();
  const std::uint64_t BytesBefore = Mesh->BytesSent;
  offerBurst(16);

  LONGS_EQUAL(Downloads.size(), answeredWhole(Downloads));
  for (const auto &Node : Mesh->Nodes)
    LONGS_EQUAL(0, Node->Core->status().Retries);
  CHECK_COMPARE(Mesh->BytesSent - BytesBefore, <,
                Downloads.size() * DownloadBytes * 110 / 100);
  checkInvariants();
}

// Guards against pieces that are lost for good, or a schedule that stops.
TEST(LinkMesh, LostMessagesAreSentAgain) {
  Network.Loss = 0.02;
  Network.Duplicate = 0.02;
  startMesh();
  offerBurst(8);

  CHECK_COMPARE(answeredWhole(Downloads), >=, Downloads.size() - 1);
  checkInvariants();
}

// Guards against a backlog that is never sent, for an entry node that is gone.
TEST(LinkMesh, BacklogOfAnEntryNodeThatIsGoneIsReleased) {
  startMesh();
  for (int I = 0; I < 12; ++I)
    Mesh->submit(1, requestOf("download", "gone" + std::to_string(I)));
  Mesh->runFor(SecondUs / 10);
  CHECK_COMPARE(Mesh->Nodes[0]->Core->status().LinkBacklogBytes, >,
                8 * DownloadBytes);

  Mesh->killNode(1);
  Mesh->runFor(2 * SecondUs);

  LONGS_EQUAL(0, Mesh->Nodes[0]->Core->status().LinkBacklogBytes);
}

// Guards against finished work that the link cannot carry before its deadline.
TEST(LinkMesh, RefusesDownloadsThatTheLinkCannotCarryInTime) {
  startMesh();
  offerBurst(80); // 6.4 s on the link.

  const std::size_t Answered = answeredWhole(Downloads);
  // The link carries 37 of them in the 3 s that they have.
  CHECK_COMPARE(Answered, >=, 33);
  CHECK_COMPARE(Answered, <=, 38);
  for (const std::size_t Number : Downloads) {
    const CallAnswer &Answer = Mesh->Calls.at(Number).Answer;
    if (Answer.Status == 200)
      continue;
    CHECK(ResultCode::LinkBusy == Answer.Reason);
    CHECK(Outcome::NotRun == Answer.RequestOutcome);
    CHECK_COMPARE(durationMs(Number), <, 1000);
  }
  LONGS_EQUAL(Reads.size(), answeredWhole(Reads));
  const CallStatus Status = Mesh->Nodes[0]->Core->status();
  CHECK_COMPARE(Status.LinkRefusals, >=, Downloads.size() - Answered);
  checkInvariants();
}

// Guards against a backlog as long as the deadline under a lasting overload:
// every answer would miss its objective.
TEST(LinkMesh, LastingOverloadLeavesAnswersWithinTheirObjective) {
  startMesh();
  for (int I = 0; I < 400; ++I) { // 20 a second; the link carries 12.
    Downloads.push_back(submit("download"));
    Mesh->runFor(SecondUs / 20);
  }
  Mesh->runFor(5 * SecondUs);

  const std::size_t Answered = answeredWhole(Downloads);
  CHECK_COMPARE(Answered, >=, 20 * 12);
  std::size_t Late = 0;
  for (const std::size_t Number : Downloads)
    if (Mesh->Calls.at(Number).Answer.Status == 200 &&
        durationMs(Number) > 1500)
      ++Late;
  CHECK_COMPARE(Late, <=, Answered / 50);
  checkInvariants();
}

// Guards against pacing of what does not pass the link.
TEST(LinkMesh, AnswersAtTheOwnEntryAreNotDelayed) {
  startMesh();
  for (int I = 0; I < 12; ++I)
    submit("download");
  Mesh->runFor(SecondUs / 10);
  const std::size_t Own = Mesh->submit(0, requestOf("download", "own"));
  Mesh->runFor(5 * SecondUs);

  CHECK_COMPARE(durationMs(Own), <, 100);
}

// Guards against entry nodes to which a target behind a saturated link looks
// idle, and against a delay of a link that is not scheduled.
TEST(LinkMesh, EntryNodesLearnTheDelayOfAScheduledLink) {
  Network.LinkBytesPerMs = 0;
  for (const bool Scheduled : {true, false}) {
    Settings.LinkMbps = Scheduled ? 10 : 0;
    startMesh();
    for (int I = 0; I < 12; ++I)
      Mesh->submit(1, requestOf("download", std::to_string(I)));
    Mesh->runFor(SecondUs / 10);
    Mesh->submit(1, requestOf("read", "read"));
    Mesh->runFor(SecondUs / 100);

    const double WaitMs =
        Mesh->Nodes[1]->Core->explain("queue").front().ExpectedWaitMs;
    CHECK_TRUE(Scheduled == (WaitMs > 200));
  }
}

// Guards against large calls that are sent only to be refused again, while
// others are not held back.
TEST(LinkMesh, LargeCallsAreNotSentToALinkThatHasJustRefusedLikeOnes) {
  startMesh();
  for (int I = 0; I < 100; ++I) {
    CallRequest Request = requestOf("download", std::to_string(I));
    Request.HasLargePayload = true;
    Downloads.push_back(Mesh->submit(1, Request));
    Mesh->runFor(SecondUs / 200);
  }
  Mesh->runFor(5 * SecondUs);

  const std::size_t Answered = answeredWhole(Downloads);
  CHECK_COMPARE(Answered, >=, 37);
  CHECK_COMPARE(Mesh->Nodes[0]->Core->status().LinkRefusals, <, 10);
  checkInvariants();
}
