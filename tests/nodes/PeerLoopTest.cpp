#include "nodes/PeerLoop.h"

#include <atomic>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(PeerLoop){};

TEST(PeerLoop, RunsEveryTaskItTookAndTheLastOneLast) {
  constexpr int Threads = 4;
  constexpr int Tasks = 2000;
  PeerLoop Loop("test");
  Loop.start();
  std::atomic<int> Taken{0};
  int Ran = 0;
  int RanBeforeLast = -1;
  std::vector<std::thread> Posting;
  Posting.reserve(Threads);
  for (int T = 0; T < Threads; ++T) {
    Posting.emplace_back([&] {
      for (int I = 0; I < Tasks; ++I)
        if (Loop.post([&Ran] { ++Ran; }))
          ++Taken;
    });
  }

  Loop.stop([&] { RanBeforeLast = Ran; });
  for (std::thread &Thread : Posting)
    Thread.join();

  LONGS_EQUAL(Taken, Ran);
  LONGS_EQUAL(Taken, RanBeforeLast);
}

TEST(PeerLoop, TakesNoTaskWhenItDoesNotRun) {
  PeerLoop Loop("test");
  CHECK_FALSE(Loop.post([] {}));
  Loop.start();
  CHECK_TRUE(Loop.post([] {}));

  Loop.stop({});

  CHECK_FALSE(Loop.post([] {}));
}
