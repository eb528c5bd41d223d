/// \file
/// Event loop thread of the peer server or client. Runs Asio handlers and
/// posted tasks one after another.
///
/// Internal to \ref PeerServer and \ref PeerClient. Data that belongs to a loop
/// is accessed on its thread only and needs no lock.

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

/// A thread that runs an `asio::io_context`.
class PeerLoop {
public:
  using Task = std::function<void()>;

  /// \param Name at most 15 characters; shown by debuggers and `top -H`.
  explicit PeerLoop(std::string Name) : Name(std::move(Name)) {}
  ~PeerLoop() { stop({}); }
  PeerLoop(const PeerLoop &) = delete;
  PeerLoop &operator=(const PeerLoop &) = delete;

  asio::io_context &context() { return Context; }

  /// Starts the thread; \ref post accepts tasks from then on.
  void start();

  /// Queues a task. An accepted task always runs. Returns false, and never runs
  /// the task, when the loop is not started or is being stopped. The queue is
  /// unbounded; the callers limit their number of tasks.
  bool post(Task Work);

  /// Stops accepting tasks, runs \p FinalTask after those already accepted,
  /// waits until no handler is left and joins the thread. \p FinalTask must
  /// cancel every operation that would otherwise keep waiting. Does nothing
  /// when not running. Must not be called on the loop's thread.
  void stop(Task FinalTask);

private:
  const std::string Name;
  asio::io_context Context{1};
  /// Keeps the thread running while there is no work.
  asio::executor_work_guard<asio::io_context::executor_type> WorkGuard{
      Context.get_executor()};
  std::mutex Mutex; ///< Guards AcceptsTasks.
  bool AcceptsTasks = false;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERLOOP_H
