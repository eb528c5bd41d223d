#include "nodes/PeerClient.h"

#include "nodes/FakePeer.h"
#include "nodes/PeerServer.h"

#include <atomic>
#include <chrono>
#include <map>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const std::string Secret = "secret";

/// Records the reply to a request and how often the hook was called.
struct ReplyRecorder {
  std::atomic<int> Count{0};
  std::atomic<ResultCode> Reason{ResultCode::Ok};

  PeerReplyHook hook() {
    return [this](const PeerReply &Reply) {
      Reason = Reply.Reason;
      ++Count;
    };
  }
  bool hasReply() {
    return eventually([this] { return Count > 0; });
  }
};

} // namespace

TEST_GROUP(PeerClient) {
  PeerLink Link{{"client", 1}, Secret, {}, HybridClock(), {}, {}};

  PeerRequest request(const std::string &Address) {
    return {Address, PeerKind::Fetch, "body", DurationMs(20000)};
  }
  void expect(ResultCode Expected, ReplyRecorder & Result) {
    CHECK_TRUE(Result.hasReply());
    LONGS_EQUAL(static_cast<int>(Expected),
                static_cast<int>(Result.Reason.load()));
  }
};

// A non-idempotent request must not run twice when its connection closes.
TEST(PeerClient, NeverResendsARequestAfterTheConnectionCloses) {
  FakePeer Peer(Secret, [](std::size_t Connection, std::size_t) {
    return Connection == 1 ? FakeReaction::Close : FakeReaction::Reply;
  });
  PeerClient Client(Link);
  ReplyRecorder First;
  Client.send(request(Peer.address()), First.hook());
  expect(ResultCode::PeerConnectionLost, First);

  // Gives the client time to reconnect and to repeat the request wrongly.
  CHECK_TRUE(eventually([&] { return Peer.connections() >= 2; }));
  ReplyRecorder Second;
  Client.send(request(Peer.address()), Second.hook());
  expect(ResultCode::Ok, Second);

  LONGS_EQUAL(2, Peer.requests());
  LONGS_EQUAL(1, First.Count);
}

TEST(PeerClient, NeverResendsAPendingRequest) {
  FakePeer Peer(Secret,
                [](std::size_t, std::size_t) { return FakeReaction::Silent; });
  PeerClientOptions Options;
  Options.HeartbeatAfter = DurationMs(60 * 1000);
  PeerClient Client(Link, Options);
  ReplyRecorder Result;
  PeerRequest Short = request(Peer.address());
  Short.Timeout = DurationMs(1500);

  Client.send(Short, Result.hook());

  expect(ResultCode::PeerTimeout, Result);
  LONGS_EQUAL(1, Peer.requests());
}

TEST(PeerClient, DropsASilentConnectionAndOpensANewOne) {
  FakePeer Peer(Secret, [](std::size_t Connection, std::size_t) {
    return Connection == 1 ? FakeReaction::Silent : FakeReaction::Reply;
  });
  std::atomic<int> Dropped{0};
  Link.OnEvent = [&](const Event &E) {
    if (E.Id == EventId::PeerConnectionDropped)
      ++Dropped;
  };
  PeerClient Client(Link);
  ReplyRecorder Silenced;
  ReplyRecorder Next;

  Client.send(request(Peer.address()), Silenced.hook());
  expect(ResultCode::PeerSilent, Silenced);
  Client.send(request(Peer.address()), Next.hook());

  expect(ResultCode::Ok, Next);
  LONGS_EQUAL(2, Peer.connections());
  CHECK_TRUE(eventually([&] { return Dropped == 1; }));
}

TEST(PeerClient, KeepsAConnectionOnWhichAReplyArrivesSlowly) {
  FakePeer Peer(Secret, [](std::size_t, std::size_t Request) {
    return Request == 1 ? FakeReaction::Trickle : FakeReaction::Reply;
  });
  PeerClientOptions Options;
  Options.HeartbeatAfter = DurationMs(10);
  Options.SilenceLimit = DurationMs(1510);
  PeerClient Client(Link, Options);
  ReplyRecorder Slow;

  Client.send(request(Peer.address()), Slow.hook());

  expect(ResultCode::Ok, Slow);
  LONGS_EQUAL(1, Peer.connections());
  CHECK_TRUE(eventually([&] { return Peer.requests() >= 2; }));
}

TEST(PeerClient, DropsAConnectionThatStopsInTheMiddleOfAReply) {
  FakePeer Peer(Secret, [](std::size_t, std::size_t Request) {
    return Request == 1 ? FakeReaction::Stall : FakeReaction::Silent;
  });
  PeerClient Client(Link);
  ReplyRecorder Stalled;

  Client.send(request(Peer.address()), Stalled.hook());

  expect(ResultCode::PeerSilent, Stalled);
}

TEST(PeerClient, DropsAConnectionOnWhichNothingCanBeWritten) {
  FakePeer Peer(Secret,
                [](std::size_t, std::size_t) { return FakeReaction::Deaf; });
  PeerClient Client(Link);
  ReplyRecorder Small;
  ReplyRecorder Large;
  PeerRequest LargeRequest = request(Peer.address());
  LargeRequest.Body = std::string(MaxPeerBodyBytes, 'b');
  LargeRequest.Timeout = DurationMs(60 * 1000);
  PeerRequest SmallRequest = request(Peer.address());
  SmallRequest.Timeout = DurationMs(60 * 1000);

  Client.send(SmallRequest, Small.hook());
  for (int I = 0; I < 4; ++I)
    Client.send(LargeRequest, Large.hook());

  expect(ResultCode::PeerSilent, Small);
  LONGS_EQUAL(4, Large.Count);
}

TEST(PeerClient, KeepsAConnectionThatReadsALargeRequestSlowly) {
  const PeerPace Slow{MaxPeerBodyBytes / 32, TrickleTime / 32};
  FakePeer Peer(
      Secret, [](std::size_t, std::size_t) { return FakeReaction::Reply; },
      Slow);
  PeerClientOptions Options;
  Options.HeartbeatAfter = DurationMs(10);
  Options.SilenceLimit = DurationMs(1510);
  PeerClient Client(Link, Options);
  ReplyRecorder Result;
  PeerRequest Large = request(Peer.address());
  Large.Body = std::string(MaxPeerBodyBytes, 'b');

  Client.send(Large, Result.hook());

  expect(ResultCode::Ok, Result);
  LONGS_EQUAL(1, Peer.connections());
}

TEST(PeerClient, SaysWhatADroppedConnectionHadReceived) {
  FakePeer Peer(Secret,
                [](std::size_t, std::size_t) { return FakeReaction::Silent; });
  std::map<std::string, std::string> Fields;
  std::atomic<bool> Dropped{false};
  Link.OnEvent = [&](const Event &E) {
    if (E.Id != EventId::PeerConnectionDropped || Dropped)
      return;
    for (const EventField &Field : E.Fields)
      Fields[Field.Key] = Field.Value;
    Dropped = true;
  };
  PeerClient Client(Link);
  ReplyRecorder Silenced;

  Client.send(request(Peer.address()), Silenced.hook());
  expect(ResultCode::PeerSilent, Silenced);

  CHECK_TRUE(Dropped);
  STRCMP_EQUAL(Peer.address().c_str(), Fields["peer"].c_str());
  STRCMP_EQUAL("2", Fields["pending"].c_str());
  STRCMP_EQUAL("0", Fields["received_bytes"].c_str());
  STRCMP_EQUAL("0", Fields["queued_bytes"].c_str());
  CHECK_TRUE(std::stoi(Fields["silent_ms"]) >=
             std::stoi(Fields["heartbeat_ms"]));
  CHECK_TRUE(std::stoi(Fields["heartbeat_ms"]) >= 800);
}

// Requests that time out before the silence limit must not prevent the
// detection of a silent connection.
TEST(PeerClient, DetectsASilentConnectionDespiteShortTimeouts) {
  FakePeer Peer(Secret, [](std::size_t Connection, std::size_t) {
    return Connection == 1 ? FakeReaction::Silent : FakeReaction::Reply;
  });
  PeerClient Client(Link);

  const bool Recovered = eventually([&] {
    ReplyRecorder Result;
    PeerRequest Short = request(Peer.address());
    Short.Timeout = DurationMs(50);
    Client.send(Short, Result.hook());
    return Result.hasReply() && Result.Reason.load() == ResultCode::Ok;
  });

  CHECK_TRUE(Recovered);
}

TEST(PeerClient, KeepsAConnectionWithASlowPendingRequest) {
  PeerLink ServerLink{{"server", 1}, Secret, {}, HybridClock(), {}, {}};
  PeerServer Server(ServerLink, {"127.20.0.2:0", 64, 64});
  std::thread Slow;
  Server.handle(PeerKind::Fetch, [&](const PeerIdentity &, std::string_view,
                                     const ReplyHook &Reply) {
    Slow = std::thread([Reply] {
      std::this_thread::sleep_for(std::chrono::milliseconds(600));
      Reply("late");
    });
  });
  const auto Address = Server.start();
  PeerClientOptions Options;
  Options.HeartbeatAfter = DurationMs(50);
  Options.SilenceLimit = DurationMs(5050);
  PeerClient Client(Link, Options);
  ReplyRecorder Result;

  Client.send(request(*Address), Result.hook());

  expect(ResultCode::Ok, Result);
  Slow.join();
  LONGS_EQUAL(1, Link.Traffic.connections());
}

TEST(PeerClient, OpensANewConnectionForAFreshRoute) {
  FakePeer Peer(Secret,
                [](std::size_t, std::size_t) { return FakeReaction::Reply; });
  PeerClient Client(Link);
  ReplyRecorder First;
  Client.send(request(Peer.address()), First.hook());
  expect(ResultCode::Ok, First);

  ReplyRecorder Second;
  PeerRequest Fresh = request(Peer.address());
  Fresh.Route = PeerRoute::Fresh;
  Client.send(Fresh, Second.hook());

  expect(ResultCode::Ok, Second);
  LONGS_EQUAL(2, Peer.connections());
  CHECK_TRUE(eventually([&] { return Client.connections() == 1; }));
}

TEST(PeerClient, SharesANewConnectionAmongRequestsForAFreshRoute) {
  FakePeer Peer(Secret, [](std::size_t Connection, std::size_t) {
    return Connection == 1 ? FakeReaction::Silent : FakeReaction::Reply;
  });
  PeerClientOptions Options;
  Options.HeartbeatAfter = DurationMs(10 * 1000);
  PeerClient Client(Link, Options);
  ReplyRecorder Unanswered;
  Client.send(request(Peer.address()), Unanswered.hook());
  CHECK_TRUE(eventually([&] { return Peer.requests() == 1; }));

  ReplyRecorder Answered;
  PeerRequest Fresh = request(Peer.address());
  Fresh.Route = PeerRoute::Fresh;
  for (int I = 0; I < 20; ++I)
    Client.send(Fresh, Answered.hook());

  CHECK_TRUE(eventually([&] { return Answered.Count == 20; }));
  LONGS_EQUAL(2, Peer.connections());
  expect(ResultCode::Ok, Answered);
}

TEST(PeerClient, OpensANewConnectionForAFreshRouteOnceTheLastIsOld) {
  FakePeer Peer(Secret,
                [](std::size_t, std::size_t) { return FakeReaction::Reply; });
  PeerClientOptions Options;
  Options.HeartbeatAfter = DurationMs(0);
  PeerClient Client(Link, Options);
  PeerRequest Fresh = request(Peer.address());
  Fresh.Route = PeerRoute::Fresh;

  for (std::size_t Opened = 1; Opened <= 3; ++Opened) {
    ReplyRecorder Result;
    Client.send(Fresh, Result.hook());
    expect(ResultCode::Ok, Result);
    LONGS_EQUAL(Opened, Peer.connections());
    std::this_thread::sleep_for(std::chrono::milliseconds(5));
  }
}

TEST(PeerClient, ReportsARequestToAnUnreachableNodeAsNeverSent) {
  PeerClient Client(Link);
  ReplyRecorder Result;

  Client.send(request("127.20.0.3:9"), Result.hook());

  expect(ResultCode::PeerUnreachable, Result);
  CHECK_TRUE(neverSent(Result.Reason));
}

TEST(PeerClient, ReconnectsToANodeRestartedOnTheSameAddress) {
  PeerLink ServerLink{{"server", 1}, Secret, {}, HybridClock(), {}, {}};
  const PeerHandler Serve = [](const PeerIdentity &, std::string_view,
                               const ReplyHook &Reply) { Reply("ok"); };
  std::string Address = "127.20.0.4:0";
  PeerClient Client(Link);
  for (int Round = 0; Round < 3; ++Round) {
    PeerServer Server(ServerLink, {Address, 64, 64});
    Server.handle(PeerKind::Fetch, Serve);
    CHECK_TRUE(eventually([&] {
      const auto Bound = Server.start();
      Address = Bound.value_or(Address);
      return Bound.has_value();
    }));

    CHECK_TRUE(eventually([&] {
      ReplyRecorder Result;
      Client.send(request(Address), Result.hook());
      return Result.hasReply() && Result.Reason.load() == ResultCode::Ok;
    }));
  }
}

TEST(PeerClient, ClosesTheLeastRecentlyUsedConnectionAboveTheLimit) {
  FakePeer One(Secret,
               [](std::size_t, std::size_t) { return FakeReaction::Reply; });
  FakePeer Two(Secret,
               [](std::size_t, std::size_t) { return FakeReaction::Reply; });
  PeerClientOptions Options;
  Options.MaxConnections = 1;
  PeerClient Client(Link, Options);

  for (int I = 0; I < 6; ++I) {
    ReplyRecorder Result;
    Client.send(request(I % 2 == 0 ? One.address() : Two.address()),
                Result.hook());
    // The connection may become free only just after the hook, so a request may
    // be refused in between; the reason then says that it was never sent.
    CHECK_TRUE(Result.hasReply());
    CHECK_TRUE(Result.Reason.load() == ResultCode::Ok ||
               neverSent(Result.Reason));
  }

  CHECK_TRUE(eventually([&] { return Client.connections() == 1; }));
}

TEST(PeerClient, EndsEveryPendingRequestWhenStopped) {
  FakePeer Peer(Secret,
                [](std::size_t, std::size_t) { return FakeReaction::Silent; });
  PeerClient Client(Link);
  ReplyRecorder Result;
  Client.send(request(Peer.address()), Result.hook());
  CHECK_TRUE(eventually([&] { return Peer.requests() >= 1; }));

  Client.stop();

  LONGS_EQUAL(1, Result.Count);
  CHECK(ResultCode::Stopped == Result.Reason.load());
  ReplyRecorder After;
  Client.send(request(Peer.address()), After.hook());
  expect(ResultCode::Stopped, After);
}

// Stopping must work at any point of an exchange. A transport that waited for
// an operation that never completes would hang here.
TEST(PeerClient, StopsWhileRepliesArrive) {
  constexpr int Rounds = 200;
  constexpr int Requests = 20;
  PeerLink ServerLink{{"server", 1}, Secret, {}, HybridClock(), {}, {}};
  PeerServer Server(ServerLink, {"127.20.0.5:0", 64, 64});
  Server.handle(PeerKind::Fetch,
                [](const PeerIdentity &, std::string_view,
                   const ReplyHook &Reply) { Reply(std::string(300, 'r')); });
  const auto Address = Server.start();
  std::atomic<int> Completed{0};

  for (int Round = 0; Round < Rounds; ++Round) {
    PeerClient Client(Link);
    for (int I = 0; I < Requests; ++I)
      Client.send(request(*Address), [&](const PeerReply &) { ++Completed; });
    std::this_thread::sleep_for(std::chrono::microseconds(50 * (Round % 40)));
    Client.stop();
  }

  LONGS_EQUAL(Rounds * Requests, Completed);
}
