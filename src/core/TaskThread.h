/// \file
/// Thread that runs posted tasks in order, and a periodic tick.
///
/// State that only the tasks and the tick of one thread access needs no lock.
/// Other threads post tasks to it with \ref TaskThread::post, which a full
/// queue refuses, or with \ref TaskThread::postReliably.

#ifndef FESCUEWOOD_CORE_TASKTHREAD_H
#define FESCUEWOOD_CORE_TASKTHREAD_H

#include "core/BoundedQueue.h"
#include "core/Clock.h"

#include <cstddef>
#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace fescuewood {

/// Named thread with a bounded task queue.
class TaskThread {
public:
  using Task = std::function<void()>;

  /// Time from one tick to the next.
  struct TickTiming {
    DurationMs Shortest;
    DurationMs Longest;
    /// Time until the owner has something due, asked after each task and tick.
    /// Empty if that is not known: the shortest time then applies.
    std::function<DurationMs()> UntilDue = {};
  };

  /// \param Name at most 15 characters; shown by debuggers and `top -H`.
  /// \param Capacity maximum number of queued tasks.
  TaskThread(std::string Name, std::size_t Capacity);
  ~TaskThread();
  TaskThread(const TaskThread &) = delete;
  TaskThread &operator=(const TaskThread &) = delete;

  /// Starts the thread. \p OnTick runs on it between tasks, \p TickPeriod after
  /// the previous tick or as soon as the running task ends; it may be empty.
  void start(DurationMs TickPeriod, Task OnTick);

  /// As above, with ticks only as often as something is due, so that an idle
  /// thread rarely wakes up.
  void start(TickTiming Timing, Task OnTick);

  /// Queues a task. Returns false when the queue is full or the thread is
  /// stopped.
  bool post(Task Work);

  /// Queues a task that must not be dropped, such as the completion of an
  /// outstanding request or a change that is announced once. It runs before the
  /// next tick even if the queue is full, in order with other such tasks. The
  /// number of what they stand for must bound their number.
  void postReliably(Task Work);

  /// Rejects new tasks, runs the queued ones and joins the thread. Does nothing
  /// when already stopped. Must not be called on this thread itself.
  void stop();

  /// Number of queued tasks.
  std::size_t backlog() const { return Tasks.size(); }

private:
  void runReliableTasks();
  void run(const TickTiming &Timing, const Task &OnTick);

  std::string Name;
  BoundedQueue<Task> Tasks;
  std::mutex ReliableMutex;
  std::vector<Task> ReliableTasks;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_TASKTHREAD_H
