/// \file
/// TCP proxy that injects network faults on command.
///
/// It can delay, refuse or close connections, drop the next responses,
/// partition clients by IP address, and silence open connections: these stay
/// open but forward nothing, while new connections work.

#ifndef FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H
#define FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H

#include "standins/Http.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <stdexcept>
#include <vector>

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
  /// Throws std::invalid_argument, without any effect, when it does not know
  /// the command, a parameter or a value.
  ///
  ///   /control/counts                  only returns the response
  ///   /control/cut                     closes the open connections
  ///   /control/silence[?direction=D]   silences them: up, down or both
  ///   /control/partition?from=IP,...   partitions clients; empty: none
  ///   /control/set?NAME=NUMBER&...     sets one or more of \ref settings
  std::string control(const std::string &Command) {
    const std::string Name = Command.substr(0, Command.find('?'));
    const QueryParameters Parameters = queryParameters(Command);
    if (Name == "/control/set")
      set(Parameters);
    else if (Name == "/control/partition")
      partition(addressesOf(onlyValue(Parameters, "from")));
    else if (Name == "/control/silence" && !Parameters.empty())
      silenceAll(onlyValue(Parameters, "direction"));
    else if (!Parameters.empty())
      throw std::invalid_argument("unknown parameter in " + Command);
    else if (Name == "/control/silence")
      silenceAll("both");
    else if (Name == "/control/cut")
      closeAll();
    else if (Name != "/control/counts")
      throw std::invalid_argument("unknown command " + Command);
    return counts();
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

  /// Value of the only parameter, which must be \p Name.
  static std::string onlyValue(const QueryParameters &Parameters,
                               const std::string &Name) {
    if (Parameters.size() != 1 || Parameters.front().first != Name)
      throw std::invalid_argument("expected only the parameter " + Name);
    return Parameters.front().second;
  }

  /// Parses a comma-separated list of IP addresses.
  static std::set<std::string> addressesOf(const std::string &List) {
    std::set<std::string> Addresses;
    std::istringstream Items(List);
    for (std::string Item; std::getline(Items, Item, ',');) {
      std::error_code Malformed;
      asio::ip::make_address(Item, Malformed);
      if (Malformed)
        throw std::invalid_argument("not an IP address: " + Item);
      Addresses.insert(Item);
    }
    return Addresses;
  }

  static int numberOf(const std::string &Text) {
    int Value = 0;
    const char *End = Text.data() + Text.size();
    const auto [Rest, Error] = std::from_chars(Text.data(), End, Value);
    if (Error != std::errc() || Rest != End || Value < 0)
      throw std::invalid_argument("not a number: " + Text);
    return Value;
  }

  /// Variables that /control/set changes, by parameter name.
  std::map<std::string, int *> settings() {
    return {{"delay_ms", &DelayMs},
            {"refuse", &Refuse},
            {"silent", &SilentFromStart},
            {"lose_answers", &LoseAnswers},
            {"cut_permille", &CutPermille}};
  }

  void set(const QueryParameters &Parameters) {
    const auto Known = settings();
    std::vector<std::pair<int *, int>> Changes;
    for (const auto &[Name, Text] : Parameters) {
      const auto Found = Known.find(Name);
      if (Found == Known.end())
        throw std::invalid_argument("unknown parameter " + Name);
      Changes.emplace_back(Found->second, numberOf(Text));
    }
    if (Changes.empty())
      throw std::invalid_argument("no parameter to set");
    for (const auto &[Variable, Value] : Changes)
      *Variable = Value;
  }

  std::string counts() const {
    const auto Partitioned = std::count_if(
        Connections.begin(), Connections.end(),
        [this](const auto &Conn) { return isPartitioned(*Conn); });
    return nlohmann::json{{"connections", Connections.size()},
                          {"partitioned", Partitioned},
                          {"accepted", Accepted},
                          {"lose_answers", LoseAnswers}}
        .dump();
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
    if (Direction != "up" && Direction != "down" && Direction != "both")
      throw std::invalid_argument("unknown direction " + Direction);
    for (const auto &Conn : Connections) {
      Conn->SilentToServer |= Direction != "down";
      Conn->SilentToClient |= Direction != "up";
    }
  }

  /// Silences the connections of the clients with the addresses \p Ips.
  /// Connections of the previous partition are closed, because bytes that were
  /// discarded on them cannot be sent again.
  void partition(std::set<std::string> Ips) {
    for (const auto &Conn : Connections)
      if (isPartitioned(*Conn))
        close(*Conn);
    PartitionedIps = std::move(Ips);
    for (const auto &Conn : Connections)
      if (isPartitioned(*Conn))
        Conn->SilentToServer = Conn->SilentToClient = true;
  }

  bool isPartitioned(const Connection &Conn) const {
    return PartitionedIps.contains(Conn.ClientIp);
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
  std::set<std::string> PartitionedIps;
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
