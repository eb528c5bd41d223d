/// \file
/// A TCP proxy that plays the faults of a network on command.
///
/// It can delay, refuse or cut connections, lose the next answers, part some
/// senders off, and let open connections go silent: they stay open and pass
/// nothing, while new ones work.

#ifndef FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H
#define FESCUEWOOD_TESTS_STANDINS_FAULTPROXY_H

#include "standins/Http.h"

#include <array>
#include <list>
#include <memory>
#include <random>

#include <nlohmann/json.hpp>

namespace standins {

/// A chunk from the far side that is at least this long counts as an answer;
/// shorter ones belong to a protocol's handshake.
inline constexpr std::size_t LeastAnswerBytes = 64;

class FaultProxy {
public:
  FaultProxy(asio::io_context &Context, const Tcp::endpoint &Listen,
             Tcp::endpoint To)
      : Context(Context), Acceptor(Context, Listen), To(std::move(To)) {
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  std::uint16_t port() const { return Acceptor.local_endpoint().port(); }

  /// Carries out a command of the control port and returns its JSON answer.
  std::string control(const std::string &Command) {
    if (Command.starts_with("/control/cut"))
      cutAll();
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
    return nlohmann::json{{"connections", Links.size()},
                          {"accepted", Accepted},
                          {"lose_answers", LoseAnswers}}
        .dump();
  }

private:
  /// One connection and its other half.
  struct Link {
    explicit Link(Tcp::socket Near, asio::io_context &Context)
        : Near(std::move(Near)), Far(Context) {}

    Tcp::socket Near;
    Tcp::socket Far;
    std::string From; ///< IP number of the near end.
    bool SilentUp = false;
    bool SilentDown = false;
  };
  using LinkPtr = std::shared_ptr<Link>;

  static void set(const std::string &Command, const char *Name, int &Value) {
    if (const auto Text = queryValue(Command, Name))
      Value = std::stoi(*Text);
  }

  static void close(Link &Closed) {
    std::error_code Ignored;
    Closed.Near.close(Ignored);
    Closed.Far.close(Ignored);
  }

  void cutAll() {
    for (const auto &Open : Links)
      close(*Open);
  }

  void silenceAll(const std::string &Direction) {
    for (const auto &Open : Links) {
      Open->SilentUp |= Direction != "down";
      Open->SilentDown |= Direction != "up";
    }
  }

  /// Passes nothing from these IP numbers, separated by commas, or to them.
  /// Connections that were so before end: bytes that were lost stay lost.
  void partition(const std::string &From) {
    for (const auto &Open : Links)
      if (partitioned(*Open))
        close(*Open);
    Partitioned = "," + From + ",";
    for (const auto &Open : Links)
      if (partitioned(*Open))
        Open->SilentUp = Open->SilentDown = true;
  }

  bool partitioned(const Link &Open) const {
    return Partitioned.find("," + Open.From + ",") != std::string::npos;
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
    const auto Opened = std::make_shared<Link>(std::move(Socket), Context);
    try {
      Opened->From = Opened->Near.remote_endpoint().address().to_string();
      Opened->SilentUp = Opened->SilentDown =
          SilentFromStart != 0 || partitioned(*Opened);
      co_await Opened->Far.async_connect(To, asio::use_awaitable);
      Opened->Near.set_option(Tcp::no_delay(true));
      Opened->Far.set_option(Tcp::no_delay(true));
    } catch (const std::exception &) {
      co_return;
    }
    Links.push_back(Opened);
    asio::co_spawn(Context, pump(Opened, true), asio::detached);
    co_await pump(Opened, false);
    Links.remove(Opened);
  }

  /// Whether a message is lost, together with its connection.
  bool loses(std::size_t Size) {
    constexpr unsigned Permille = 1000;
    return CutPermille > 0 && Size >= LeastAnswerBytes &&
           Random() % Permille < static_cast<unsigned>(CutPermille);
  }

  asio::awaitable<void> pump(LinkPtr Passed, bool Up) {
    Tcp::socket &From = Up ? Passed->Near : Passed->Far;
    Tcp::socket &Into = Up ? Passed->Far : Passed->Near;
    std::array<char, 65536> Bytes{};
    try {
      for (;;) {
        const std::size_t Size = co_await From.async_read_some(
            asio::buffer(Bytes), asio::use_awaitable);
        if (Up ? Passed->SilentUp : Passed->SilentDown)
          continue;
        if (!Up && LoseAnswers > 0 && Size >= LeastAnswerBytes) {
          --LoseAnswers;
          break;
        }
        if (loses(Size))
          break;
        if (DelayMs > 0) {
          co_await sleepFor(std::chrono::milliseconds(DelayMs));
        }
        co_await asio::async_write(Into, asio::buffer(Bytes.data(), Size),
                                   asio::use_awaitable);
      }
    } catch (const std::exception &) {
      // One of the two ends has closed.
    }
    close(*Passed);
  }

  asio::io_context &Context;
  Tcp::acceptor Acceptor;
  Tcp::endpoint To;
  std::list<LinkPtr> Links;
  std::string Partitioned; ///< IP numbers, a comma before and after each.
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
