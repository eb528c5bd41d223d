/// \file
/// Open-loop load generator: sends requests at a given rate, regardless of
/// outstanding ones, and checks that each response belongs to its request.

#ifndef FESCUEWOOD_TESTS_STANDINS_LOADDRIVER_H
#define FESCUEWOOD_TESTS_STANDINS_LOADDRIVER_H

#include "standins/Http.h"

#include <algorithm>
#include <chrono>
#include <functional>
#include <limits>
#include <list>
#include <random>
#include <vector>

#include <nlohmann/json.hpp>

namespace standins {

/// Requests of one kind that one organisation sends.
struct LoadStream {
  std::string Organisation;
  std::string Key; ///< API key; empty for a route that needs none.
  std::string Method = "GET";
  std::string Path = "/";
  bool Distinct = false; ///< Gives each request a unique query.
  double PerSecond = 10;
  int InTimeMs = 500; ///< Latency up to which a response is in time.
  std::string Fields; ///< Header lines, each ending in CRLF.

  /// Requests are sent only between these times, from the start of the run.
  double FromSeconds = 0;
  double UntilSeconds = std::numeric_limits<double>::infinity();
};

enum class LoadFault {
  None,
  Broken,  ///< The connection ended without a response.
  Silent,  ///< No response within `TimeoutMs`.
  Foreign, ///< The response belongs to another request.
};

/// One request and its result.
struct LoadSample {
  std::size_t Stream = 0;
  std::string Mark;
  double AtMs = 0;      ///< Scheduled time, from the start of the run.
  double LatencyMs = 0; ///< From the scheduled time to the complete response.
  int Status = 0;       ///< HTTP status; 0 without a response.
  int Code = 0;         ///< Result code of a refusal.
  std::string Outcome;  ///< Of a refusal: not-run, ran or unknown.
  LoadFault Fault = LoadFault::None;

  bool isInTime(const LoadStream &Kind) const {
    return Status == 200 && Fault == LoadFault::None &&
           LatencyMs <= Kind.InTimeMs;
  }
};

struct LoadOptions {
  std::vector<std::string> Nodes; ///< "IP:port" of each entry node.
  std::vector<LoadStream> Streams;
  double Seconds = 5;
  unsigned Seed = 1;
  int TimeoutMs = 15'000; ///< Response timeout.
  std::string MarkPrefix = "m";

  /// Returns whether callers currently use a node; when empty, they use all.
  std::function<bool(std::size_t Node)> Usable;
};

/// One load run, on its own io_context.
class LoadDriver {
public:
  using SteadyClock = std::chrono::steady_clock;

  explicit LoadDriver(LoadOptions Options)
      : Options(std::move(Options)),
        IdleConnections(this->Options.Nodes.size()) {}

  /// Runs until every request has a result and returns the samples.
  std::vector<LoadSample> run() {
    Start = SteadyClock::now();
    for (std::size_t I = 0; I < Options.Streams.size(); ++I)
      asio::co_spawn(Context, arrivals(I), asio::detached);
    Context.run();
    return std::move(Samples);
  }

private:
  struct Connection {
    explicit Connection(asio::io_context &Context) : Socket(Context) {}

    Tcp::socket Socket;
    std::string Buffer;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  double elapsedMs() const {
    return std::chrono::duration<double, std::milli>(SteadyClock::now() - Start)
        .count();
  }

  /// Generates Poisson arrivals, reproducible for a seed.
  asio::awaitable<void> arrivals(std::size_t Stream) {
    std::mt19937 Random(Options.Seed * 1000 + static_cast<unsigned>(Stream));
    std::exponential_distribution<double> Gap(
        Options.Streams[Stream].PerSecond);
    const double Until =
        std::min(Options.Seconds, Options.Streams[Stream].UntilSeconds);
    double DueSeconds = Options.Streams[Stream].FromSeconds + Gap(Random);
    asio::steady_timer Timer(Context);
    for (int Number = 0; DueSeconds < Until; ++Number) {
      Timer.expires_at(Start +
                       std::chrono::duration_cast<SteadyClock::duration>(
                           std::chrono::duration<double>(DueSeconds)));
      co_await Timer.async_wait(asio::use_awaitable);
      LoadSample Sample;
      Sample.Stream = Stream;
      Sample.Mark = Options.MarkPrefix + std::to_string(Options.Seed) + "-" +
                    std::to_string(Stream) + "-" + std::to_string(Number);
      Sample.AtMs = DueSeconds * 1000;
      asio::co_spawn(Context, request(Sample, pickNode(Random)),
                     asio::detached);
      DueSeconds += Gap(Random);
    }
  }

  /// Draws a usable node; any node when none is found.
  std::size_t pickNode(std::mt19937 &Random) {
    constexpr int MaxDraws = 100;
    std::size_t Node = Random() % Options.Nodes.size();
    for (int I = 0; Options.Usable && I < MaxDraws && !Options.Usable(Node);
         ++I) {
      // Callers that stop using a node drop their connections to it.
      IdleConnections[Node].clear();
      Node = Random() % Options.Nodes.size();
    }
    return Node;
  }

  asio::awaitable<void> request(LoadSample Sample, std::size_t Node) {
    const ConnectionPtr Conn = takeConnection(Node);
    const auto Timer = std::make_shared<asio::steady_timer>(
        Context, std::chrono::milliseconds(Options.TimeoutMs));
    bool TimedOut = false;
    Timer->async_wait([Conn, &TimedOut, Timer](const std::error_code &Error) {
      if (Error)
        return;
      TimedOut = true;
      std::error_code Ignored;
      Conn->Socket.close(Ignored);
    });
    try {
      co_await exchange(*Conn, Node, Sample);
      if (Conn->Socket.is_open())
        IdleConnections[Node].push_back(Conn);
    } catch (const std::exception &) {
      Sample.Fault = TimedOut ? LoadFault::Silent : LoadFault::Broken;
    }
    Timer->cancel();
    Sample.LatencyMs = elapsedMs() - Sample.AtMs;
    Samples.push_back(std::move(Sample));
  }

  /// Returns an idle connection that the node has not closed, or a new one.
  ConnectionPtr takeConnection(std::size_t Node) {
    while (!IdleConnections[Node].empty()) {
      ConnectionPtr Conn = IdleConnections[Node].back();
      IdleConnections[Node].pop_back();
      if (isOpen(Conn->Socket))
        return Conn;
    }
    return std::make_shared<Connection>(Context);
  }

  static bool isOpen(Tcp::socket &Socket) {
    char Byte = 0;
    std::error_code Error;
    Socket.non_blocking(true, Error);
    Socket.receive(asio::buffer(&Byte, 1), Tcp::socket::message_peek, Error);
    return Error == asio::error::would_block;
  }

  asio::awaitable<void> exchange(Connection &Conn, std::size_t Node,
                                 LoadSample &Sample) {
    if (!Conn.Socket.is_open()) {
      co_await Conn.Socket.async_connect(endpointOf(Options.Nodes[Node]),
                                         asio::use_awaitable);
      Conn.Socket.set_option(Tcp::no_delay(true));
    }
    const LoadStream &Kind = Options.Streams[Sample.Stream];
    std::string Fields =
        std::string(MarkField) + ": " + Sample.Mark + "\r\n" + Kind.Fields;
    if (!Kind.Key.empty())
      Fields += "X-Api-Key: " + Kind.Key + "\r\n";
    const std::string Body = Kind.Method == "POST" ? Sample.Mark : "";
    const std::string Query = Kind.Distinct ? "?mark=" + Sample.Mark : "";
    co_await send(Conn.Socket,
                  requestText(Kind.Method, Kind.Path + Query, Fields, Body));
    const Message Answer = co_await readMessage(Conn.Socket, Conn.Buffer);
    if (Answer.field("connection") == "close")
      Conn.Socket.close();
    check(Answer, Sample);
  }

  static void check(const Message &Answer, LoadSample &Sample) {
    Sample.Status = Answer.status();
    if (Sample.Status == 200) {
      const bool IsOwn = Answer.field("x-request-mark") == Sample.Mark &&
                         Answer.Body.starts_with("mark=" + Sample.Mark + "\n");
      Sample.Fault = IsOwn ? LoadFault::None : LoadFault::Foreign;
      return;
    }
    const auto Json = nlohmann::json::parse(Answer.Body, nullptr, false);
    if (!Json.is_object())
      return;
    Sample.Code = Json.value("code", 0);
    Sample.Outcome = Json.value("outcome", "");
  }

  LoadOptions Options;
  asio::io_context Context;
  SteadyClock::time_point Start;
  std::vector<std::vector<ConnectionPtr>> IdleConnections;
  std::vector<LoadSample> Samples;
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_LOADDRIVER_H
