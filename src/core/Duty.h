/// \file
/// Thread that runs posted tasks in order, and a periodic tick.
///
/// State that only the tasks and the tick of one thread access needs no lock.
/// Other threads post tasks to it with \ref Duty::post.

#ifndef FESCUEWOOD_CORE_DUTY_H
#define FESCUEWOOD_CORE_DUTY_H

#include "core/Clock.h"
#include "core/Ring.h"

#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace fescuewood {

/// Named thread with a bounded task queue.
class Duty {
public:
  using Task = std::function<void()>;

  /// \param Name at most 15 characters; shown by debuggers and `top -H`.
  /// \param Capacity maximum number of queued tasks.
  Duty(std::string Name, std::size_t Capacity);
  ~Duty();
  Duty(const Duty &) = delete;
  Duty &operator=(const Duty &) = delete;

  /// Starts the thread. \p OnTick runs on it between tasks, \p TickPeriod after
  /// the previous tick or as soon as the running task ends; it may be empty.
  void start(DurationMs TickPeriod, Task OnTick);

  /// Queues a task. Returns false when the queue is full or the thread is
  /// stopped.
  bool post(Task Work);

  /// Rejects new tasks, runs the queued ones and joins the thread. Does nothing
  /// when already stopped. Must not be called on this thread itself.
  void stop();

  /// Number of queued tasks.
  std::size_t backlog() const { return Tasks.size(); }

private:
  void run(DurationMs TickPeriod, const Task &OnTick);

  std::string Name;
  BoundedQueue<Task> Tasks;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_DUTY_H
