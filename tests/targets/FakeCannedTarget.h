/// \file
/// A fake target that answers the first request of each connection with fixed
/// bytes.

#ifndef FESCUEWOOD_TESTS_TARGETS_FAKECANNEDTARGET_H
#define FESCUEWOOD_TESTS_TARGETS_FAKECANNEDTARGET_H

#include <string>
#include <thread>

#include <asio.hpp>

namespace fescuewood {

/// How the target closes a connection after its answer.
enum class CloseMode { Close, Reset };

/// Serves connections on a dedicated thread until it is destroyed.
class FakeCannedTarget {
public:
  explicit FakeCannedTarget(std::string Answer,
                            CloseMode Mode = CloseMode::Close);
  ~FakeCannedTarget();

  /// "IP:port".
  std::string address() const;

private:
  void serve();

  std::string Answer;
  CloseMode Mode;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_TARGETS_FAKECANNEDTARGET_H
