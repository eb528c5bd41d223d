#include "nodes/PeerLoop.h"

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(PeerLoop){};

TEST(PeerLoop, RunsEveryAcceptedTaskBeforeTheFinalOne) {
  constexpr int Threads = 4;
  constexpr int Tasks = 2000;
  PeerLoop Loop("test");
  Loop.start();
  std::atomic<int> Accepted{0};
  int Ran = 0;
  int RanBeforeFinalTask = -1;
  std::vector<std::thread> Posters;
  Posters.reserve(Threads);
  for (int T = 0; T < Threads; ++T) {
    Posters.emplace_back([&] {
      for (int I = 0; I < Tasks; ++I)
        if (Loop.post([&Ran] { ++Ran; }))
          ++Accepted;
    });
  }

  Loop.stop([&] { RanBeforeFinalTask = Ran; });
  for (std::thread &Thread : Posters)
    Thread.join();

  LONGS_EQUAL(Accepted, Ran);
  LONGS_EQUAL(Accepted, RanBeforeFinalTask);
}

TEST(PeerLoop, RejectsTasksWhileNotRunning) {
  PeerLoop Loop("test");
  CHECK_FALSE(Loop.post([] {}));
  Loop.start();
  CHECK_TRUE(Loop.post([] {}));

  Loop.stop({});

  CHECK_FALSE(Loop.post([] {}));
}
