/// \file
/// TCP proxy that injects network faults on command.
///
/// It can delay, refuse or close connections, drop the next responses,
/// partition clients by IP address, and silence open connections: these stay
/// open but forward nothing, while new connections work.

#ifndef FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H
#define FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H

#include "standins/Http.h"

#include <array>
#include <list>
#include <memory>
#include <random>

#include <nlohmann/json.hpp>

namespace standins {

/// Shortest read that counts as a message of the application protocol; shorter
/// ones belong to a handshake.
inline constexpr std::size_t MinResponseBytes = 64;

class FaultProxy {
public:
  FaultProxy(asio::io_context &Context, const Tcp::endpoint &Listen,
             Tcp::endpoint Upstream)
      : Context(Context), Acceptor(Context, Listen),
        Upstream(std::move(Upstream)) {
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  /// Executes a command of the control port and returns the JSON response.
  std::string control(const std::string &Command) {
    if (Command.starts_with("/control/cut"))
      closeAll();
    if (Command.starts_with("/control/silence"))
      silenceAll(queryValue(Command, "direction").value_or("both"));
    if (Command.starts_with("/control/partition"))
      partition(queryValue(Command, "from").value_or(""));
    if (Command.starts_with("/control/set")) {
      set(Command, "delay_ms", DelayMs);
      set(Command, "refuse", Refuse);
      set(Command, "silent", SilentFromStart);
      set(Command, "lose_answers", LoseAnswers);
      set(Command, "cut_permille", CutPermille);
    }
    return nlohmann::json{{"connections", Connections.size()},
                          {"accepted", Accepted},
                          {"lose_answers", LoseAnswers}}
        .dump();
  }

private:
  /// A client connection and the matching connection to the server.
  struct Connection {
    explicit Connection(Tcp::socket Client, asio::io_context &Context)
        : Client(std::move(Client)), Server(Context) {}

    Tcp::socket Client;
    Tcp::socket Server;
    std::string ClientIp; ///< IP address of the client.
    bool SilentToServer = false;
    bool SilentToClient = false;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  static void set(const std::string &Command, const char *Name, int &Value) {
    if (const auto Text = queryValue(Command, Name))
      Value = std::stoi(*Text);
  }

  static void close(Connection &Conn) {
    std::error_code Ignored;
    Conn.Client.close(Ignored);
    Conn.Server.close(Ignored);
  }

  void closeAll() {
    for (const auto &Conn : Connections)
      close(*Conn);
  }

  void silenceAll(const std::string &Direction) {
    for (const auto &Conn : Connections) {
      Conn->SilentToServer |= Direction != "down";
      Conn->SilentToClient |= Direction != "up";
    }
  }

  /// Silences the connections of the clients in \p Ips, a comma-separated list
  /// of IP addresses. Connections of the previous partition are closed, because
  /// bytes that were discarded on them cannot be sent again.
  void partition(const std::string &Ips) {
    for (const auto &Conn : Connections)
      if (isPartitioned(*Conn))
        close(*Conn);
    PartitionedIps = "," + Ips + ",";
    for (const auto &Conn : Connections)
      if (isPartitioned(*Conn))
        Conn->SilentToServer = Conn->SilentToClient = true;
  }

  bool isPartitioned(const Connection &Conn) const {
    return PartitionedIps.find("," + Conn.ClientIp + ",") != std::string::npos;
  }

  asio::awaitable<void> acceptLoop() {
    for (;;) {
      Tcp::socket Socket = co_await Acceptor.async_accept(asio::use_awaitable);
      ++Accepted;
      if (Refuse == 0) {
        asio::co_spawn(Context, open(std::move(Socket)), asio::detached);
      }
    }
  }

  asio::awaitable<void> open(Tcp::socket Socket) {
    const auto Conn = std::make_shared<Connection>(std::move(Socket), Context);
    try {
      Conn->ClientIp = Conn->Client.remote_endpoint().address().to_string();
      Conn->SilentToServer = Conn->SilentToClient =
          SilentFromStart != 0 || isPartitioned(*Conn);
      co_await Conn->Server.async_connect(Upstream, asio::use_awaitable);
      Conn->Client.set_option(Tcp::no_delay(true));
      Conn->Server.set_option(Tcp::no_delay(true));
    } catch (const std::exception &) {
      co_return;
    }
    Connections.push_back(Conn);
    asio::co_spawn(Context, forward(Conn, true), asio::detached);
    co_await forward(Conn, false);
    Connections.remove(Conn);
  }

  /// Draws whether to drop a message and close its connection.
  bool cutsAtRandom(std::size_t Size) {
    constexpr unsigned Permille = 1000;
    return CutPermille > 0 && Size >= MinResponseBytes &&
           Random() % Permille < static_cast<unsigned>(CutPermille);
  }

  asio::awaitable<void> forward(ConnectionPtr Relay, bool ToServer) {
    Tcp::socket &Origin = ToServer ? Relay->Client : Relay->Server;
    Tcp::socket &Destination = ToServer ? Relay->Server : Relay->Client;
    std::array<char, 65536> Bytes{};
    try {
      for (;;) {
        const std::size_t Size = co_await Origin.async_read_some(
            asio::buffer(Bytes), asio::use_awaitable);
        if (ToServer ? Relay->SilentToServer : Relay->SilentToClient)
          continue;
        if (!ToServer && LoseAnswers > 0 && Size >= MinResponseBytes) {
          --LoseAnswers;
          break;
        }
        if (cutsAtRandom(Size))
          break;
        if (DelayMs > 0) {
          co_await sleepFor(std::chrono::milliseconds(DelayMs));
        }
        co_await asio::async_write(
            Destination, asio::buffer(Bytes.data(), Size), asio::use_awaitable);
      }
    } catch (const std::exception &) {
      // The client or the server has closed the connection.
    }
    close(*Relay);
  }

  asio::io_context &Context;
  Tcp::acceptor Acceptor;
  Tcp::endpoint Upstream;
  std::list<ConnectionPtr> Connections;
  std::string PartitionedIps; ///< IP addresses, a comma before and after each.
  int DelayMs = 0;
  int Refuse = 0;
  int SilentFromStart = 0;
  int LoseAnswers = 0;
  int CutPermille = 0;
  int Accepted = 0;
  std::mt19937 Random{1};
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H
