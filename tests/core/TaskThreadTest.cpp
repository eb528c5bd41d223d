#include "core/TaskThread.h"

#include <atomic>
#include <future>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(TaskThread){};

TEST(TaskThread, RunsTasksInPostOrder) {
  TaskThread Worker("worker", 16);
  std::vector<int> Ran;
  Worker.start(DurationMs(1000), {});

  for (int I = 0; I < 8; ++I)
    Worker.post([&Ran, I] { Ran.push_back(I); });
  Worker.stop();

  CHECK((std::vector<int>{0, 1, 2, 3, 4, 5, 6, 7}) == Ran);
}

TEST(TaskThread, RejectsTasksAfterStop) {
  TaskThread Worker("worker", 16);
  Worker.start(DurationMs(1000), {});

  Worker.stop();

  CHECK_FALSE(Worker.post([] {}));
}

TEST(TaskThread, TicksWithoutTasks) {
  TaskThread Worker("worker", 16);
  std::promise<void> Ticked;
  std::atomic<int> Ticks = 0;

  Worker.start(DurationMs(1), [&] {
    if (++Ticks == 1)
      Ticked.set_value();
  });
  Ticked.get_future().wait();
  Worker.stop();

  CHECK(Ticks >= 1);
}

// A task may cause something that is due earlier than the next tick.
TEST(TaskThread, TicksWhenATaskHasMadeSomethingDue) {
  TaskThread Worker("worker", 16);
  std::promise<void> Ticked;
  bool Due = false;
  Worker.start({DurationMs(1), DurationMs(3'600'000),
                [&Due] { return Due ? DurationMs(0) : DurationMs(3'600'000); }},
               [&] {
                 if (std::exchange(Due, false))
                   Ticked.set_value();
               });

  Worker.post([&Due] { Due = true; });

  Ticked.get_future().wait();
  Worker.stop();
}

TEST(TaskThread, FullQueueDropsNoReliableTask) {
  TaskThread Worker("worker", 1);
  std::promise<void> Ran;
  CHECK(Worker.post([] {}));
  CHECK_FALSE(Worker.post([] {}));

  Worker.postReliably([&Ran] { Ran.set_value(); });
  Worker.start(DurationMs(1), {});

  Ran.get_future().wait();
  Worker.stop();
}
