/// \file
/// A fake target that answers with bytes that do not end until the client
/// closes the connection.

#ifndef FESCUEWOOD_TESTS_TARGETS_FAKEENDLESSTARGET_H
#define FESCUEWOOD_TESTS_TARGETS_FAKEENDLESSTARGET_H

#include <atomic>
#include <chrono>
#include <cstddef>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>

namespace fescuewood {

/// What the target sends for a request of `/endless`. A request of another path
/// is answered well.
struct EndlessBytes {
  std::string Start;                  ///< Sent once.
  std::string Repeat;                 ///< Sent again and again.
  std::chrono::milliseconds Pause{0}; ///< Before each repetition.
};

/// Serves connections on dedicated threads until it is destroyed.
class FakeEndlessTarget {
public:
  explicit FakeEndlessTarget(EndlessBytes Bytes);
  ~FakeEndlessTarget();

  /// "IP:port".
  std::string address() const;

  /// Bytes that the system accepted from the target for endless answers.
  std::size_t sentBytes() const { return SentBytes; }

  /// Waits until the client has closed the connections of all endless answers.
  bool awaitClosed(std::chrono::milliseconds Timeout) const;

private:
  using Tcp = asio::ip::tcp;

  void accept();
  void serve(Tcp::socket Client);
  void sendEndlessly(Tcp::socket &Client);

  const EndlessBytes Bytes;
  std::atomic<bool> Stopping = false;
  std::atomic<std::size_t> SentBytes = 0;
  std::atomic<int> OpenEndless = 0;
  asio::io_context Context;
  Tcp::acceptor Acceptor;
  std::vector<std::thread> Servers;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_TARGETS_FAKEENDLESSTARGET_H
