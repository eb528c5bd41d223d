/// \file
/// The thread of one end of the transport: it runs Asio's handlers and posted
/// tasks, one after another.
///
/// Internal to \ref PeerServer and \ref PeerClient. Everything that belongs to
/// a loop is touched on its thread only and needs no lock.

#ifndef FESCUEWOOD_NODES_PEERLOOP_H
#define FESCUEWOOD_NODES_PEERLOOP_H

#include <asio/executor_work_guard.hpp>
#include <asio/io_context.hpp>

#include <functional>
#include <mutex>
#include <string>
#include <thread>
#include <utility>

namespace fescuewood {

/// One thread with an `asio::io_context`.
class PeerLoop {
public:
  using Task = std::function<void()>;

  /// \param Name at most 15 characters; shown by debuggers and `top -H`.
  explicit PeerLoop(std::string Name) : Name(std::move(Name)) {}
  ~PeerLoop() { stop({}); }
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  asio::io_context &context() { return Context; }

  /// Starts the thread; \ref post takes tasks from then on.
  void start();

  /// Queues a task. Returns false, and never runs it, when the loop is not
  /// started or is being stopped; a task that was taken runs. The callers bound
  /// how many wait.
  bool post(Task Work);

  /// Takes no more tasks, runs \p Last after those already taken, waits until
  /// no handler is left and joins the thread. \p Last must end every operation
  /// that would otherwise wait. Does nothing when not running; not from the
  /// loop's own thread.
  void stop(Task Last);

private:
  const std::string Name;
  asio::io_context Context{1};
  /// Keeps the thread running while nothing is to be done.
  asio::executor_work_guard<asio::io_context::executor_type> Guard{
      Context.get_executor()};
  std::mutex Mutex; ///< Of Open.
  bool Open = false;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERLOOP_H
