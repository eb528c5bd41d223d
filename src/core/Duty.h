/// \file
/// A duty: one named thread that runs posted tasks in order and a tick.
///
/// State that belongs to a duty is touched only by its tasks and its tick, so
/// it needs no lock. Other threads reach it with \ref Duty::post.

#ifndef FESCUEWOOD_CORE_DUTY_H
#define FESCUEWOOD_CORE_DUTY_H

#include "core/Clock.h"
#include "core/Ring.h"

#include <cstddef>
#include <functional>
#include <string>
#include <thread>

namespace fescuewood {

/// One thread with a bounded ring of tasks.
class Duty {
public:
  using Task = std::function<void()>;

  /// \param Name at most 15 characters; shown by debuggers and `top -H`.
  /// \param Capacity most tasks that wait at once.
  Duty(std::string Name, std::size_t Capacity);
  ~Duty();
  Duty(const Duty &) = delete;
  Duty &operator=(const Duty &) = delete;

  /// Starts the thread. \p OnTick runs on it at least every \p TickPeriod,
  /// between tasks; it may be empty.
  void start(DurationMs TickPeriod, Task OnTick);

  /// Queues a task, or returns false when the ring is full or stopped.
  bool post(Task Work);

  /// Refuses new tasks, runs those already queued and joins the thread.
  /// Returns at once when already stopped. Not from the duty's own thread.
  void stop();

  /// Number of tasks that wait.
  std::size_t backlog() const { return Tasks.size(); }

private:
  void loop(DurationMs TickPeriod, const Task &OnTick);

  std::string Name;
  BoundedQueue<Task> Tasks;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_DUTY_H
