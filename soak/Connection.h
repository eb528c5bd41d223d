/// \file
/// A caller's connection to a node: one request at a time, kept open until the
/// node closes it.

#ifndef FESCUEWOOD_SOAK_CONNECTION_H
#define FESCUEWOOD_SOAK_CONNECTION_H

#include "soak/History.h"
#include "standins/Http.h"

#include <memory>
#include <string>

namespace fescuewood::soak {

class Connection {
public:
  explicit Connection(std::string Address) : Address(std::move(Address)) {}

  /// Sends a request and fills in what became of it; connects if necessary.
  asio::awaitable<void> exchange(Send &S, DurationMs TimeLeft);

private:
  asio::awaitable<void> tryExchange(Send &S, DurationMs TimeLeft);
  /// Closes the connection if bytes came while no request was waiting, and
  /// returns them.
  std::string takeStray();
  void close();

  std::string Address;
  /// Shared with the timer that limits an exchange.
  std::shared_ptr<standins::Tcp::socket> Socket;
  std::string Buffer; ///< Bytes received and not yet read.
};

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_CONNECTION_H
