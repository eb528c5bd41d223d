// Tests of the memory for the bodies of callers' requests.

#include "callers/CallerServerFixture.h"

using namespace fescuewood;

TEST_GROUP_BASE(CallerBodies, CallerServerFixture){};

// The budget fits one of the large bodies. The others stay in their callers'
// send buffers, and no request is refused.
TEST(CallerBodies, DefersLargeBodiesUntilMemoryIsReleased) {
  constexpr std::size_t LargeBytes = 100'000;
  constexpr std::size_t BudgetBytes = LargeBytes * 3 / 2;
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(LargeBytes, BudgetBytes), requestHook(), {},
                       {});
  CHECK(Bounded.start());
  std::deque<Caller> Large;
  for (int I = 0; I < 4; ++I)
    Large.emplace_back(Bounded.port()).send(post("/large", LargeBytes));
  Caller Small(Bounded.port());
  Small.send(get("/small"));
  CHECK(eventually([&] { return receivedCount() == 2; }));

  for (std::size_t Answered = 0; Answered < 5; ++Answered) {
    CHECK(eventually([&] { return receivedCount() > Answered; }));
    std::lock_guard<std::mutex> Lock(Mutex);
    std::size_t Bytes = 0;
    for (std::size_t I = Answered; I < Received.size(); ++I)
      Bytes += Received[I].first.Body.size();
    CHECK_TRUE_TEXT(Bytes <= BudgetBytes, std::to_string(Bytes).c_str());
    Received[Answered].second(okAnswer("done"));
  }

  for (Caller &Client : Large)
    STRCMP_EQUAL("done", Client.receive().Body.c_str());
  STRCMP_EQUAL("done", Small.receive().Body.c_str());
  Bounded.stop();
}

// Guards against requests in chunks that wait until no request with a body is
// unanswered, whatever their own size.
TEST(CallerBodies, ReadsRequestsInChunksBesideUnansweredBodies) {
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(100'000, 50'000), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller Other(Bounded.port());
  Other.send(post("/other", 300));
  CHECK(eventually([&] { return receivedCount() == 1; }));

  std::deque<Caller> Clients;
  for (int I = 0; I < 3; ++I)
    Clients.emplace_back(Bounded.port()).send(chunkedHead("/chunks"));
  // The chunks arrive in another read than their heads.
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  for (Caller &Client : Clients)
    Client.send(chunk(300) + LastChunk);

  CHECK(eventually([&] { return receivedCount() == 4; }));
}

// Guards against a body that is larger than the budget and waits until no
// request with a body is unanswered.
TEST(CallerBodies, ReadsABodyAboveTheBudgetBesideUnansweredSmallOnes) {
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(300'000, 100'000), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller Other(Bounded.port());
  Other.send(post("/other", 300));
  CHECK(eventually([&] { return receivedCount() == 1; }));

  Caller WithLength(Bounded.port());
  WithLength.send(post("/length", 300'000));
  CHECK(eventually([&] { return receivedCount() == 2; }));
  Received[1].second(okAnswer("length"));
  STRCMP_EQUAL("length", WithLength.receive().Body.c_str());
  Caller InChunks(Bounded.port());
  InChunks.send(chunkedHead("/chunks") + chunk(200'000) + chunk(50'000) +
                LastChunk);

  CHECK(eventually([&] { return receivedCount() == 3; }));
  LONGS_EQUAL(250'000, Received[2].first.Body.size());
}

// Guards against a large upload that keeps all shorter ones waiting.
TEST(CallerBodies, ReadsShortBodiesBesideALargeOneThatWaits) {
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(2'000'000, 400'000), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller Oldest(Bounded.port());
  Oldest.send(post("/oldest", 150'000));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Caller Large(Bounded.port());
  Large.send(chunkedHead("/large") + chunk(600'000));

  Caller Short(Bounded.port());
  Short.send(chunkedHead("/short") + chunk(20'000) + LastChunk);

  CHECK(eventually([&] { return receivedCount() == 2; }));
  Large.send(LastChunk);
  Received[0].second(okAnswer("oldest"));
  CHECK(eventually([&] { return receivedCount() == 3; }));
  LONGS_EQUAL(600'000, Received[2].first.Body.size());
}

TEST(CallerBodies, ClosesConnectionsThatWaitForBodyMemory) {
  constexpr std::size_t LargeBytes = 100'000;
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(LargeBytes, 1), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller First(Bounded.port());
  Caller Waiting(Bounded.port());
  First.send(post("/large", LargeBytes));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Waiting.send(post("/large", LargeBytes));

  Bounded.stop();

  CHECK(Waiting.waitForClose());
  LONGS_EQUAL(1, receivedCount());
}
