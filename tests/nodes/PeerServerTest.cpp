#include "nodes/PeerServer.h"

#include "nodes/FakePeer.h"
#include "nodes/PeerClient.h"
#include "nodes/PeerEnvelope.h"
#include "nodes/PeerFrame.h"

#include <algorithm>
#include <atomic>
#include <deque>
#include <mutex>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

std::uint64_t refusalsFor(const PeerLink &Link, ResultCode Reason) {
  for (const PeerRefusals &R : Link.Traffic.refusals())
    if (R.Reason == Reason)
      return R.Count;
  return 0;
}

std::string requestFrame(std::uint32_t Number, PeerKind Kind) {
  const std::string Sealed = sealEnvelope(
      {Kind, PeerPhase::Request, {"raw", 1}, {}, "body"}, "secret");
  return packFrameHeader({Sealed.size(), Number}) + Sealed;
}

} // namespace

TEST_GROUP(PeerServer) {
  PeerLink ServerLink{{"server", 1}, "secret", {}, HybridClock(), {}, {}};
  PeerLink ClientLink{{"client", 1}, "secret", {}, HybridClock(), {}, {}};
  PeerServerOptions Options{"127.20.0.1:0", 64, 4096};
  std::atomic<int> Replies{0};
  std::atomic<int> Failures{0};

  std::uint64_t heartbeatsAnswered() {
    for (const PeerKindTraffic &Row : ServerLink.Traffic.byKind())
      if (Row.Kind == PeerKind::Heartbeat)
        return Row.MessagesSent;
    return 0;
  }
  PeerReplyHook expectBody(const std::string &Body) {
    return [this, Body](const PeerReply &Reply) {
      if (Reply.Body != Body)
        ++Failures;
      ++Replies;
    };
  }
};

// Sends more requests than may be in flight and answers them late and in
// reverse order.
TEST(PeerServer, MatchesRepliesToRequestsWhenAnsweredOutOfOrder) {
  constexpr int Count = 500;
  std::mutex Mutex;
  std::vector<std::pair<std::string, ReplyHook>> PendingReplies;
  PeerServer Server(ServerLink, Options);
  Server.handle(
      PeerKind::CallStart,
      [&](const PeerIdentity &, std::string_view Body, ReplyHook Reply) {
        std::lock_guard<std::mutex> Lock(Mutex);
        PendingReplies.emplace_back(std::string(Body), std::move(Reply));
      });
  const auto Address = Server.start();
  CHECK_TRUE(Address.has_value());
  PeerClient Client(ClientLink);

  for (int I = 0; I < Count; ++I) {
    const std::string Body = std::to_string(I) + std::string(3000, 'x');
    Client.send({*Address, PeerKind::CallStart, Body, DurationMs(20000)},
                expectBody("re:" + Body));
  }
  const bool AllReplied = eventually([&] {
    std::vector<std::pair<std::string, ReplyHook>> Batch;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Batch.swap(PendingReplies);
    }
    for (auto It = Batch.rbegin(); It != Batch.rend(); ++It)
      It->second("re:" + It->first);
    return Replies == Count;
  });

  CHECK_TRUE(AllReplied);
  LONGS_EQUAL(0, Failures);
}

TEST(PeerServer, RefusesAKindWithoutHandler) {
  PeerServer Server(ServerLink, Options);
  const auto Address = Server.start();
  PeerClient Client(ClientLink);
  std::atomic<int> Code{0};

  Client.send({*Address, PeerKind::Tokens, "", DurationMs(20000)},
              [&](const PeerReply &R) { Code = static_cast<int>(R.Reason); });

  CHECK_TRUE(eventually([&] { return Code != 0; }));
  LONGS_EQUAL(static_cast<int>(ResultCode::PeerKindUnknown), Code);
  LONGS_EQUAL(1, refusalsFor(ServerLink, ResultCode::PeerKindUnknown));
}

TEST(PeerServer, RefusesForeignAndTruncatedMessages) {
  PeerServer Server(ServerLink, Options);
  Server.handle(PeerKind::Fetch,
                [](const PeerIdentity &, std::string_view,
                   const ReplyHook &Reply) { Reply("served"); });
  const auto Address = Server.start();
  const std::string Header = packFrameHeader({6, 1});
  PeerLink ForeignLink{{"stray", 1}, "guess", {}, HybridClock(), {}, {}};
  PeerClient ForeignClient(ForeignLink);

  sendRaw(*Address, "GET / HTTP/1.1\r\n\r\n");
  sendRaw(*Address, Header + "short!");
  sendRaw(*Address, packFrameHeader({0x7f000000, 1}));
  sendRaw(*Address, Header + "cut");
  ForeignClient.send({*Address, PeerKind::Fetch, "", DurationMs(200)},
                     [](const PeerReply &) {});

  CHECK_TRUE(eventually([&] {
    return refusalsFor(ServerLink, ResultCode::PeerSealInvalid) == 1 &&
           refusalsFor(ServerLink, ResultCode::PeerMessageMalformed) == 1 &&
           refusalsFor(ServerLink, ResultCode::PeerMessageTooLarge) == 2;
  }));
  PeerClient Client(ClientLink);
  Client.send({*Address, PeerKind::Fetch, "", DurationMs(20000)},
              expectBody("served"));
  CHECK_TRUE(eventually([&] { return Replies == 1; }));
  LONGS_EQUAL(0, Failures);
}

TEST(PeerServer, ReleasesARequestThatIsNeverAnswered) {
  PeerServerOptions Tight = Options;
  Tight.MaxInFlight = 1;
  PeerServer Server(ServerLink, Tight);
  std::atomic<int> Handled{0};
  Server.handle(PeerKind::Fetch, [&](const PeerIdentity &, std::string_view,
                                     const ReplyHook &) { ++Handled; });
  const auto Address = Server.start();
  PeerClient Client(ClientLink);

  for (int I = 0; I < 40; ++I)
    Client.send({*Address, PeerKind::Fetch, "", DurationMs(20000)},
                [](const PeerReply &) {});

  CHECK_TRUE(eventually([&] { return Handled == 40; }));
}

TEST(PeerServer, KeepsReadingAfterConnectionsWereLostWithQueuedReplies) {
  constexpr int Requests = 32;
  constexpr int LostConnections = 10;
  PeerServer Server(ServerLink, Options);
  Server.handle(PeerKind::Fetch, [](const PeerIdentity &, std::string_view,
                                    const ReplyHook &Reply) {
    Reply(std::string(1 << 20, 'r'));
  });
  Server.handle(PeerKind::Exchange,
                [](const PeerIdentity &, std::string_view,
                   const ReplyHook &Reply) { Reply("served"); });
  const auto Address = Server.start();
  std::string Frames;
  for (std::uint32_t Number = 1; Number <= Requests; ++Number)
    Frames += requestFrame(Number, PeerKind::Fetch);

  for (int I = 0; I < LostConnections; ++I)
    sendRaw(*Address, Frames);

  CHECK_TRUE(eventually([&] { return ServerLink.Traffic.queuedBytes() == 0; }));
  PeerClient Client(ClientLink);
  for (int Served = 1; Served <= 3; ++Served) {
    Client.send({*Address, PeerKind::Exchange, "", DurationMs(20000)},
                expectBody("served"));
    CHECK_TRUE(eventually([&] { return Replies == Served; }));
  }
  LONGS_EQUAL(0, Failures);
}

TEST(PeerServer, BoundsTheBytesThatWaitForASlowReader) {
  constexpr std::size_t Requests = 1000;
  constexpr std::size_t MaxExpectedBytes = 16 << 20;
  std::atomic<std::size_t> MostBytes{0};
  PeerServer Server(ServerLink, {"127.20.0.1:0"});
  Server.handle(PeerKind::Fetch, [&](const PeerIdentity &, std::string_view,
                                     const ReplyHook &Reply) {
    MostBytes =
        std::max<std::size_t>(MostBytes, ServerLink.Traffic.queuedBytes());
    Reply(std::string(64 << 10, 'r'));
  });
  Server.handle(PeerKind::Exchange,
                [](const PeerIdentity &, std::string_view,
                   const ReplyHook &Reply) { Reply("served"); });
  const auto Address = Server.start();
  RawConnection SlowReader(*Address);
  for (std::uint32_t Number = 1; Number <= Requests; ++Number)
    SlowReader.send(requestFrame(Number, PeerKind::Fetch));
  CHECK_TRUE(eventually([&] { return MostBytes >= MaxExpectedBytes / 4; }));

  // Another node is served while the slow one does not read.
  PeerClient Client(ClientLink);
  for (int Served = 1; Served <= 100; ++Served) {
    Client.send({*Address, PeerKind::Exchange, "", DurationMs(20000)},
                expectBody("served"));
    CHECK_TRUE(eventually([&] { return Replies == Served; }));
  }
  std::size_t Received = 0;
  while (Received < Requests && SlowReader.readFrameNumber() > 0)
    ++Received;

  LONGS_EQUAL(Requests, Received);
  LONGS_EQUAL(0, Failures);
  CHECK_TRUE(MostBytes <= MaxExpectedBytes);
  CHECK_TRUE(eventually([&] { return ServerLink.Traffic.queuedBytes() == 0; }));
}

TEST(PeerServer, AnswersAHeartbeatBeforeLargeRepliesThatWait) {
  constexpr std::uint32_t Requests = 600;
  constexpr std::uint32_t HeartbeatNumber = Requests + 1;
  PeerServerOptions Wide{"127.20.0.1:0"};
  Wide.MaxQueuedBytes = 1 << 30;
  PeerServer Server(ServerLink, Wide);
  Server.handle(PeerKind::Fetch, [](const PeerIdentity &, std::string_view,
                                    const ReplyHook &Reply) {
    Reply(std::string(64 << 10, 'r'));
  });
  const auto Address = Server.start();
  RawConnection SlowReader(*Address);
  for (std::uint32_t Number = 1; Number <= Requests; ++Number)
    SlowReader.send(requestFrame(Number, PeerKind::Fetch));
  SlowReader.send(requestFrame(HeartbeatNumber, PeerKind::Heartbeat));
  CHECK_TRUE(eventually([&] { return heartbeatsAnswered() == 1; }));

  std::uint32_t LargeReplies = 0;
  while (LargeReplies < Requests &&
         SlowReader.readFrameNumber() != HeartbeatNumber)
    ++LargeReplies;

  CHECK_TRUE(LargeReplies < Requests / 2);
}

// Guards against messages that never end: each holds memory of its own, and a
// message of another node must still arrive.
TEST(PeerServer, ReceivesALargeMessageBesideOnesThatNeverEnd) {
  constexpr std::size_t LargeBytes = 1'000'000;
  Options.MaxReceivingBytes = LargeBytes;
  Options.LargeMessageTime = DurationMs(300);
  PeerServer Server(ServerLink, Options);
  Server.handle(PeerKind::CallStart,
                [&](const PeerIdentity &, std::string_view Body,
                    const ReplyHook &Reply) { Reply(std::string(Body)); });
  const auto Address = Server.start();
  std::deque<RawConnection> Endless;
  for (std::uint32_t I = 1; I <= 20; ++I)
    Endless.emplace_back(*Address).send(packFrameHeader({LargeBytes, I}) +
                                        std::string(300'000, 'x'));
  PeerClient Client(ClientLink);

  const std::string Body(LargeBytes, 'a');
  for (int I = 0; I < 3; ++I)
    Client.send({*Address, PeerKind::CallStart, Body, DurationMs(20000)},
                expectBody(Body));

  CHECK_TRUE(eventually([&] { return Replies == 3; }));
  LONGS_EQUAL(0, Failures);
  // The connections that stopped in the middle have been closed.
  for (RawConnection &Each : Endless)
    LONGS_EQUAL(0, Each.readFrameNumber());
}

TEST(PeerServer, ReportsAnAddressInUse) {
  PeerServer First(ServerLink, Options);
  const auto Address = First.start();
  PeerServer Second(ServerLink, {*Address, 64, 4096});

  CHECK_FALSE(Second.start().has_value());

  CHECK(ResultCode::PeerListenFailed == Second.lastReason());
}

TEST(PeerServer, IgnoresAReplyHookThatOutlivesIt) {
  ReplyHook RetainedReply;
  std::atomic<bool> Received{false};
  PeerClient Client(ClientLink);
  {
    PeerServer Server(ServerLink, Options);
    Server.handle(PeerKind::Fetch, [&](const PeerIdentity &, std::string_view,
                                       const ReplyHook &Reply) {
      RetainedReply = Reply;
      Received = true;
    });
    const auto Address = Server.start();
    Client.send({*Address, PeerKind::Fetch, "", DurationMs(20000)},
                [this](const PeerReply &Reply) {
                  if (Reply.Reason != ResultCode::PeerConnectionLost)
                    ++Failures;
                  ++Replies;
                });
    CHECK_TRUE(eventually([&] { return Received.load(); }));
  }

  RetainedReply("too late");

  CHECK_TRUE(eventually([&] { return Replies == 1; }));
  LONGS_EQUAL(0, Failures);
}
