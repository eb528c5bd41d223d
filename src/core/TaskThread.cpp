#include "core/TaskThread.h"

#include <pthread.h>

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

TimeMs nextTick(const TaskThread::TickTiming &Timing, TimeMs LastTick,
                TimeMs Now) {
  const TimeMs Earliest = LastTick + Timing.Shortest;
  if (!Timing.UntilDue)
    return Earliest;
  return std::clamp(Now + Timing.UntilDue(), Earliest,
                    LastTick + Timing.Longest);
}

} // namespace

TaskThread::TaskThread(std::string Name, std::size_t Capacity)
    : Name(std::move(Name)), Tasks(Capacity) {}

TaskThread::~TaskThread() { stop(); }

void TaskThread::start(DurationMs TickPeriod, Task OnTick) {
  start(TickTiming{TickPeriod, TickPeriod}, std::move(OnTick));
}

void TaskThread::start(TickTiming Timing, Task OnTick) {
  Thread = std::thread(
      [this, Timing = std::move(Timing), OnTick = std::move(OnTick)] {
        pthread_setname_np(pthread_self(), Name.c_str());
        run(Timing, OnTick);
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

void TaskThread::run(const TickTiming &Timing, const Task &OnTick) {
  const Clock Monotonic = Clock::monotonic();
  TimeMs LastTick = Monotonic.now();
  TimeMs NextTick = LastTick + Timing.Shortest;
  while (true) {
    const DurationMs TimeToTick = NextTick - Monotonic.now();
    std::optional<Task> Work = Tasks.pop(std::max(TimeToTick, DurationMs(0)));
    if (Work)
      (*Work)();
    else if (Tasks.closed())
      return;
    if (Monotonic.now() >= NextTick) {
      runReliableTasks();
      if (OnTick)
        OnTick();
      LastTick = Monotonic.now();
    }
    NextTick = nextTick(Timing, LastTick, Monotonic.now());
  }
}

} // namespace fescuewood
