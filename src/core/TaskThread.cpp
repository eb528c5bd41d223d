#include "core/TaskThread.h"

#include <pthread.h>

#include <algorithm>
#include <utility>

namespace fescuewood {

TaskThread::TaskThread(std::string Name, std::size_t Capacity)
    : Name(std::move(Name)), Tasks(Capacity) {}

TaskThread::~TaskThread() { stop(); }

void TaskThread::start(DurationMs TickPeriod, Task OnTick) {
  Thread = std::thread([this, TickPeriod, OnTick = std::move(OnTick)] {
    pthread_setname_np(pthread_self(), Name.c_str());
    run(TickPeriod, OnTick);
  });
}

bool TaskThread::post(Task Work) { return Tasks.push(std::move(Work)); }

void TaskThread::postReliably(Task Work) {
  {
    const std::lock_guard<std::mutex> Lock(ReliableMutex);
    ReliableTasks.push_back(std::move(Work));
  }
  Tasks.push([this] { runReliableTasks(); });
}

void TaskThread::runReliableTasks() {
  std::vector<Task> Batch;
  {
    const std::lock_guard<std::mutex> Lock(ReliableMutex);
    Batch.swap(ReliableTasks);
  }
  for (const Task &Work : Batch)
    Work();
}

void TaskThread::stop() {
  Tasks.close();
  if (Thread.joinable())
    Thread.join();
}

void TaskThread::run(DurationMs TickPeriod, const Task &OnTick) {
  const Clock Monotonic = Clock::monotonic();
  TimeMs NextTick = Monotonic.now() + TickPeriod;
  while (true) {
    const DurationMs TimeToTick = NextTick - Monotonic.now();
    std::optional<Task> Work = Tasks.pop(std::max(TimeToTick, DurationMs(0)));
    if (Work)
      (*Work)();
    else if (Tasks.closed())
      return;
    if (Monotonic.now() < NextTick)
      continue;
    runReliableTasks();
    if (OnTick)
      OnTick();
    NextTick = Monotonic.now() + TickPeriod;
  }
}

} // namespace fescuewood
