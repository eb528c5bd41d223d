// Tests of reads that the server suspends.

#include "callers/CallerServerFixture.h"

#include <deque>

using namespace fescuewood;

TEST_GROUP_BASE(SuspendedReads, CallerServerFixture){};

// Guards against a suspended read that is resumed after its connection has been
// freed. Shown by AddressSanitizer.
TEST(SuspendedReads, SuspendedReadsOwnTheirConnection) {
  for (int Round = 0; Round < 4; ++Round) {
    CallerServerOptions Options = options();
    Options.MaxBodyBytes = 200'000;
    Options.MaxHeldBytes = 100'000;
    Options.WriteTimeout = DurationMs(200);
    CallerServer Paused(Options, requestHook(), {}, {});
    CHECK(Paused.start());
    DeferAnswers = true;
    const std::size_t Before = receivedCount();
    std::deque<Caller> Clients;
    for (int I = 0; I < 4; ++I) {
      Clients.emplace_back(Paused.port(), 4096);
      Clients.back().send(get("/a") + get("/b") + get("/c"));
      Clients.emplace_back(Paused.port()).send(post("/body", 90'000));
    }
    CHECK(eventually([&] { return receivedCount() >= Before + 12; }));
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      for (std::size_t I = Before; I < Received.size(); ++I)
        if (Received[I].first.Target != "/body")
          Received[I].second(okAnswer(std::string(1'000'000, 'a')));
    }
    // Some connections end at the write timeout, some by their client, and the
    // others when the server stops.
    for (int I = 0; I < Round * 2; ++I)
      Clients.pop_front();
    if (Round == 1)
      Paused.stopAccepting();
    std::this_thread::sleep_for(std::chrono::milliseconds(100 * Round));
    Paused.stop();
  }
}

// Guards against a full account that keeps ordinary requests from being read.
TEST(SuspendedReads, AFullAccountSuspendsLargeRequestsOnly) {
  CallerServerOptions Options = options();
  Options.MaxBodyBytes = 400'000;
  Options.MaxHeldBytes = 2'000'000;
  Options.MaxClientBytes = 3 * 20 * 1024 + 250'000;
  CallerServer Full(Options, requestHook(), {}, {});
  CHECK(Full.start());
  Caller Large(Full.port());
  Large.send(post("/large", 400'000).substr(0, 390'000));
  CHECK(eventually(
      [&] { return Full.status().HeldBytes > Options.MaxClientBytes; }));
  std::this_thread::sleep_for(std::chrono::milliseconds(100));
  const std::size_t Held = Full.status().HeldBytes;

  Caller Small(Full.port());
  Small.send(get("/small"));
  STRCMP_EQUAL("/small", Small.receive().Body.c_str());
  CHECK(Held < 390'000);
  Full.stop();
}
