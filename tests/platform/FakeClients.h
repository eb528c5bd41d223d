/// \file
/// Fake clients that misuse an HTTP server: many connections that send a fixed
/// form of bytes, read little or nothing of the responses and reconnect when
/// they are closed.

#ifndef FESCUEWOOD_TESTS_PLATFORM_FAKECLIENTS_H
#define FESCUEWOOD_TESTS_PLATFORM_FAKECLIENTS_H

#include <cstddef>
#include <deque>
#include <limits>
#include <string>
#include <vector>

#include <asio.hpp>

namespace fescuewood {

/// What a fake client sends and reads. After the last byte it stays open.
struct ClientForm {
  static constexpr std::size_t Unlimited =
      std::numeric_limits<std::size_t>::max();

  std::string Start;             ///< Sent first.
  std::string Repeated = {};     ///< Sent again and again after it.
  std::size_t RepeatedBytes = 0; ///< Bytes of all repetitions.
  /// Bytes that are sent and read in a step, if the server takes them.
  std::size_t SendPerStep = Unlimited;
  std::size_t ReadPerStep = 0;
};

/// Connections to one server. They do not block.
class FakeClients {
public:
  /// Opens \p Count connections, on which the forms take turns.
  FakeClients(const std::string &Address, std::vector<ClientForm> Forms,
              std::size_t Count);

  /// Sends and reads on each connection, and replaces closed ones.
  void step();

private:
  struct Client {
    Client(asio::io_context &Context, const ClientForm &Form)
        : Socket(Context), Form(&Form) {}

    asio::ip::tcp::socket Socket;
    const ClientForm *Form;
    std::size_t Sent = 0;
    std::size_t Reconnections = 0;
  };

  void connect(Client &Item);
  bool send(Client &Item);
  bool receive(Client &Item);

  const asio::ip::tcp::endpoint Server;
  const std::vector<ClientForm> Forms;
  asio::io_context Context;
  std::deque<Client> Clients;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_PLATFORM_FAKECLIENTS_H
