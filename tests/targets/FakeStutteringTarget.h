/// \file
/// A fake target that writes each of its answers twice, the second time late.

#ifndef FESCUEWOOD_TESTS_TARGETS_FAKESTUTTERINGTARGET_H
#define FESCUEWOOD_TESTS_TARGETS_FAKESTUTTERINGTARGET_H

#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>

namespace fescuewood {

/// Answers the n-th request with the n-th status, whatever its connection, with
/// the ID of the request, if it has one, and a signature. On each connection it
/// writes an answer once more in front of the next one. Serves on a dedicated
/// thread until it is destroyed.
class FakeStutteringTarget {
public:
  explicit FakeStutteringTarget(std::vector<int> Statuses);
  ~FakeStutteringTarget();

  /// "IP:port".
  std::string address() const;

private:
  struct Connection;

  void accept();
  void read(const std::shared_ptr<Connection> &Peer);
  void answer(const std::shared_ptr<Connection> &Peer,
              const std::string &Request);

  std::vector<int> Statuses;
  std::size_t Answered = 0; ///< Number of requests.
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_TARGETS_FAKESTUTTERINGTARGET_H
