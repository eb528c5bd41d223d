#include "nodes/PeerServer.h"

#include "nodes/FakePeer.h"
#include "nodes/PeerClient.h"
#include "nodes/PeerFrame.h"

#include <atomic>
#include <mutex>
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

} // namespace

TEST_GROUP(PeerServer) {
  PeerLink ServerLink{{"server", 1}, "secret", {}, HybridClock(), {}, {}};
  PeerLink ClientLink{{"client", 1}, "secret", {}, HybridClock(), {}, {}};
  PeerServerOptions Options{"127.20.0.1:0", 64, 4096};
  std::atomic<int> Replies{0};
  std::atomic<int> Failures{0};

  PeerReplyHook expecting(const std::string &Body) {
    return [this, Body](const PeerReply &Reply) {
      if (Reply.Body != Body)
        ++Failures;
      ++Replies;
    };
  }
};

// More requests than places, answered late and in the reverse order.
TEST(PeerServer, GivesEachRequestItsOwnReplyWhenAnswersCross) {
  constexpr int Count = 500;
  std::mutex Mutex;
  std::vector<std::pair<std::string, ReplyHook>> Held;
  PeerServer Server(ServerLink, Options);
  Server.handle(
      PeerKind::CallStart,
      [&](const PeerIdentity &, std::string_view Body, ReplyHook Reply) {
        std::lock_guard<std::mutex> Lock(Mutex);
        Held.emplace_back(std::string(Body), std::move(Reply));
      });
  const auto Address = Server.start();
  CHECK_TRUE(Address.has_value());
  PeerClient Client(ClientLink);

  for (int I = 0; I < Count; ++I) {
    const std::string Body = std::to_string(I) + std::string(3000, 'x');
    Client.send({*Address, PeerKind::CallStart, Body, DurationMs(20000)},
                expecting("re:" + Body));
  }
  const bool AllCame = eventually([&] {
    std::vector<std::pair<std::string, ReplyHook>> Batch;
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Batch.swap(Held);
    }
    for (auto It = Batch.rbegin(); It != Batch.rend(); ++It)
      It->second("re:" + It->first);
    return Replies == Count;
  });

  CHECK_TRUE(AllCame);
  LONGS_EQUAL(0, Failures);
}

TEST(PeerServer, RefusesAKindWithoutHandlerAtOnce) {
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

TEST(PeerServer, OutlivesForeignAndTruncatedMessages) {
  PeerServer Server(ServerLink, Options);
  Server.handle(PeerKind::Fetch,
                [](const PeerIdentity &, std::string_view,
                   const ReplyHook &Reply) { Reply("served"); });
  const auto Address = Server.start();
  const std::string Header = packFrameHeader({6, 1});
  PeerLink ForeignLink{{"stray", 1}, "guess", {}, HybridClock(), {}, {}};
  PeerClient Stray(ForeignLink);

  sendRaw(*Address, "GET / HTTP/1.1\r\n\r\n");
  sendRaw(*Address, Header + "short!");
  sendRaw(*Address, packFrameHeader({0x7f000000, 1}));
  sendRaw(*Address, Header + "cut");
  Stray.send({*Address, PeerKind::Fetch, "", DurationMs(200)},
             [](const PeerReply &) {});

  CHECK_TRUE(eventually([&] {
    return refusalsFor(ServerLink, ResultCode::PeerSealInvalid) == 1 &&
           refusalsFor(ServerLink, ResultCode::PeerMessageMalformed) == 1 &&
           refusalsFor(ServerLink, ResultCode::PeerMessageTooLarge) == 2;
  }));
  PeerClient Client(ClientLink);
  Client.send({*Address, PeerKind::Fetch, "", DurationMs(20000)},
              expecting("served"));
  CHECK_TRUE(eventually([&] { return Replies == 1; }));
  LONGS_EQUAL(0, Failures);
}

TEST(PeerServer, FreesThePlaceOfARequestThatIsNeverAnswered) {
  PeerServerOptions Tight = Options;
  Tight.MaxInFlight = 1;
  PeerServer Server(ServerLink, Tight);
  std::atomic<int> Seen{0};
  Server.handle(PeerKind::Fetch, [&](const PeerIdentity &, std::string_view,
                                     const ReplyHook &) { ++Seen; });
  const auto Address = Server.start();
  PeerClient Client(ClientLink);

  for (int I = 0; I < 40; ++I)
    Client.send({*Address, PeerKind::Fetch, "", DurationMs(20000)},
                [](const PeerReply &) {});

  CHECK_TRUE(eventually([&] { return Seen == 40; }));
}

TEST(PeerServer, ReportsAnAddressThatIsTaken) {
  PeerServer First(ServerLink, Options);
  const auto Address = First.start();
  PeerServer Second(ServerLink, {*Address, 64, 4096});

  CHECK_FALSE(Second.start().has_value());

  CHECK(ResultCode::PeerListenFailed == Second.lastReason());
}

TEST(PeerServer, IgnoresARepliesHookThatOutlivesIt) {
  ReplyHook Held;
  std::atomic<bool> Came{false};
  PeerClient Client(ClientLink);
  {
    PeerServer Server(ServerLink, Options);
    Server.handle(PeerKind::Fetch, [&](const PeerIdentity &, std::string_view,
                                       const ReplyHook &Reply) {
      Held = Reply;
      Came = true;
    });
    const auto Address = Server.start();
    Client.send({*Address, PeerKind::Fetch, "", DurationMs(20000)},
                [this](const PeerReply &Reply) {
                  if (Reply.Reason != ResultCode::PeerConnectionLost)
                    ++Failures;
                  ++Replies;
                });
    CHECK_TRUE(eventually([&] { return Came.load(); }));
  }

  Held("too late");

  CHECK_TRUE(eventually([&] { return Replies == 1; }));
  LONGS_EQUAL(0, Failures);
}
