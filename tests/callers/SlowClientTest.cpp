// Tests of clients that send or read slowly.

#include "callers/CallerServerFixture.h"

#include <algorithm>
#include <deque>

using namespace fescuewood;

namespace {

constexpr TransferLimits FastLimits{10'000, DurationMs(500), DurationMs(1000),
                                    DurationMs(2000)};

constexpr std::size_t LargeAnswerBytes = 8'000'000;

const std::string BodyHead =
    "POST /slow HTTP/1.1\r\nHost: mesh\r\nContent-Length: 4000\r\n\r\n";

} // namespace

TEST_GROUP_BASE(SlowClients, CallerServerFixture) {
  CallerServer Limited{
      limitedOptions(), requestHook(), {}, [this](const Event &Value) {
        std::lock_guard<std::mutex> Lock(Mutex);
        Events.push_back(Value);
      }};

  static CallerServerOptions limitedOptions() {
    CallerServerOptions Options = options();
    Options.Transfers = FastLimits;
    return Options;
  }

  void setup() override {
    CallerServerFixture::setup();
    CHECK(Limited.start());
  }
  void teardown() override {
    Limited.stop();
    CallerServerFixture::teardown();
  }

  std::size_t eventCount(EventId Id) {
    std::lock_guard<std::mutex> Lock(Mutex);
    return static_cast<std::size_t>(std::ranges::count_if(
        Events, [Id](const Event &E) { return E.Id == Id; }));
  }

  /// Sends \p Text every \p Interval until the server answers or \p Count
  /// pieces are sent.
  standins::Message drip(Caller & Client, const std::string &Text,
                         std::chrono::milliseconds Interval, int Count) {
    for (int I = 0; I < Count && Limited.status().SlowClients == 0; ++I) {
      Client.send(Text);
      std::this_thread::sleep_for(Interval);
    }
    // What is sent after the refusal must not cost the client its answer.
    Client.send(Text);
    return Client.receive();
  }

  void checkRefused(const standins::Message &Answer, ResultCode Reason) {
    LONGS_EQUAL(408, Answer.status());
    const auto Json = nlohmann::json::parse(Answer.Body);
    LONGS_EQUAL(static_cast<int>(Reason), Json["code"].get<int>());
    STRCMP_EQUAL("not-run", Json["outcome"].get<std::string>().c_str());
    LONGS_EQUAL(0, receivedCount());
    LONGS_EQUAL(1, eventCount(EventId::ClientTooSlow));
  }
};

// Guards against bodies that never end, although each byte comes in time.
TEST(SlowClients, RefusesABodyBelowTheMinimumRate) {
  Caller Client(Limited.port());
  Client.send(BodyHead);
  checkRefused(drip(Client, "x", std::chrono::milliseconds(50), 400),
               ResultCode::RequestTooSlow);
  CHECK(Client.waitForClose());
}

// Guards against bodies in chunks that keep to the rate without an end.
TEST(SlowClients, RefusesABodyThatExceedsItsTimeLimit) {
  Caller Client(Limited.port());
  Client.send(chunkedHead("/long"));
  // The extension keeps to the rate without adding to the body.
  const std::string Piece = "1;" + std::string(1000, 'e') + "\r\nx\r\n";
  checkRefused(drip(Client, Piece, std::chrono::milliseconds(25), 800),
               ResultCode::RequestTimeout);
}

// Guards against answers that are kept for readers which never take them.
TEST(SlowClients, ClosesTheConnectionOfASlowReader) {
  Caller Client(Limited.port(), 4096);
  DeferAnswers = true;
  Client.send(get("/large"));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Received[0].second(okAnswer(std::string(LargeAnswerBytes, 'a')));

  CHECK(eventually([&] { return Limited.status().SlowClients == 1; }));
  CHECK(eventually([&] { return Limited.status().Connections == 0; }));
  LONGS_EQUAL(1, eventCount(EventId::ClientTooSlow));
}

// Guards against limits that hit a client which waits for its answer, or for a
// node that does not read.
TEST(SlowClients, TheNodesTimeIsNotTheClients) {
  CallerServerOptions Options = limitedOptions();
  Options.MaxBodyBytes = 100'000;
  Options.MaxHeldBytes = 100'000;
  CallerServer Bounded(Options, requestHook(), {}, {});
  CHECK(Bounded.start());
  DeferAnswers = true;
  std::deque<Caller> Clients;
  for (int I = 0; I < 3; ++I)
    Clients.emplace_back(Bounded.port()).send(post("/large", 80'000));
  // Longer than all limits.
  std::this_thread::sleep_for(std::chrono::milliseconds(2600));

  for (std::size_t I = 0; I < Clients.size(); ++I) {
    CHECK(eventually([&] { return receivedCount() > I; }));
    std::lock_guard<std::mutex> Lock(Mutex);
    Received[I].second(okAnswer("done"));
  }
  for (Caller &Client : Clients)
    STRCMP_EQUAL("done", Client.receive().Body.c_str());
  LONGS_EQUAL(0, Bounded.status().SlowClients);
  Bounded.stop();
}
