/// \file
/// Stand-in for a target: an HTTP service with a limited number of slots that
/// starts cold, can be slow, stall, crash or close connections, can answer
/// without end, and records every run of every request.
///
/// A crash is simulated inside the process, so that the run record survives:
/// all connections are closed, the port is closed for a while, and the target
/// restarts cold.

#ifndef FESCUEWOOD_TESTS_STANDINS_TARGET_H
#define FESCUEWOOD_TESTS_STANDINS_TARGET_H

#include "standins/Http.h"

#include <algorithm>
#include <chrono>
#include <list>
#include <random>
#include <set>
#include <utility>

#include <nlohmann/json.hpp>

namespace standins {

/// Names of the header fields that a target which signs its responses uses;
/// empty for a target that does not sign.
struct TargetFields {
  std::string RequestId; ///< Identifies the request; repeated in the response.
  std::string Signature;
  std::string TargetId; ///< Names the intended target of a request.
  std::string NotRun;   ///< Set in the response to a misdirected request.
};

struct TargetOptions {
  Tcp::endpoint Listen;
  int Slots = 6;
  int ColdMs = 0;    ///< Warm-up time after a start.
  int ColdSlots = 2; ///< Capacity right after a start.
  int LatencyMs = 2;
  int RestartMs = 300; ///< Time for which a crash closes the port.
  bool Spread = false; ///< Half of the latency is fixed, half is random.
  int OverloadCrashPercent = 0; ///< Load, in percent of the capacity while
                                ///< cold, beyond which it crashes; 0 for never.
  TargetFields Fields = {};
  std::string Id = {}; ///< Name of this target in requests.
};

class Target {
public:
  using SteadyClock = std::chrono::steady_clock;

  Target(asio::io_context &Context, const TargetOptions &Options)
      : Context(Context), Options(Options), Acceptor(Context),
        Random(std::hash<Tcp::endpoint>()(Options.Listen)) {
    listen();
  }

  std::uint16_t port() const { return Options.Listen.port(); }

  /// Executes a command of the control port and returns the JSON response.
  std::string control(const std::string &Command) {
    if (Command.starts_with("/control/runs"))
      return nlohmann::json(Runs).dump();
    if (Command.starts_with("/control/restart"))
      crash();
    if (Command.starts_with("/control/chill"))
      Started = SteadyClock::now();
    if (Command.starts_with("/control/set")) {
      set(Command, "latency_ms", Options.LatencyMs);
      set(Command, "restart_ms", Options.RestartMs);
      set(Command, "cold_ms", Options.ColdMs);
      set(Command, "stall", Stall);
      set(Command, "close_next", CloseNext);
    }
    return stats().dump();
  }

  nlohmann::json stats() const {
    return {{"runs", Total},
            {"in_flight", InFlight},
            {"max_in_flight", MaxInFlight},
            {"slot_overloads", SlotOverloads},
            {"cold_overloads", ColdOverloads},
            {"max_cold_excess", MaxColdExcess},
            {"crashes", Crashes},
            {"misdirected", Misdirected},
            {"connections", Accepted},
            {"endless_answers", EndlessAnswers},
            {"doubled", doubled()}};
  }

  /// Number of request marks that ran more than once on this target.
  std::size_t doubled() const {
    return static_cast<std::size_t>(
        std::count_if(Runs.begin(), Runs.end(),
                      [](const auto &Run) { return Run.second > 1; }));
  }

  const std::map<std::string, int> &runs() const { return Runs; }

private:
  static void set(const std::string &Command, const char *Name, int &Value) {
    if (const auto Text = queryValue(Command, Name))
      Value = std::stoi(*Text);
  }

  void listen() {
    Acceptor.open(Options.Listen.protocol());
    Acceptor.set_option(Tcp::acceptor::reuse_address(true));
    Acceptor.bind(Options.Listen);
    Acceptor.listen();
    Options.Listen = Acceptor.local_endpoint();
    Started = SteadyClock::now();
    asio::co_spawn(Context, acceptLoop(), asio::detached);
  }

  asio::awaitable<void> acceptLoop() {
    try {
      for (;;) {
        Tcp::socket Socket =
            co_await Acceptor.async_accept(asio::use_awaitable);
        Socket.set_option(Tcp::no_delay(true));
        ++Accepted;
        asio::co_spawn(Context, serve(std::move(Socket)), asio::detached);
      }
    } catch (const std::exception &) {
      // A crash has closed the port.
    }
  }

  asio::awaitable<void> serve(Tcp::socket NewSocket) {
    const auto Position = Sockets.insert(Sockets.end(), std::move(NewSocket));
    Tcp::socket &Socket = *Position;
    try {
      std::string Buffer;
      for (;;) {
        const Message Request = co_await readMessage(Socket, Buffer);
        co_await run(Socket, Request);
      }
    } catch (const std::exception &) {
      // The connection has ended.
    }
    Sockets.erase(Position);
  }

  /// Number of concurrent requests that the target supports; rises linearly
  /// during the warm-up, from \ref ColdSlots to all slots.
  int capacity() const {
    using std::chrono::duration_cast;
    using std::chrono::milliseconds;
    const auto Age =
        duration_cast<milliseconds>(SteadyClock::now() - Started).count();
    if (Age >= Options.ColdMs)
      return Options.Slots;
    const int InitialSlots = std::min(Options.ColdSlots, Options.Slots);
    return InitialSlots + static_cast<int>((Options.Slots - InitialSlots) *
                                           Age / Options.ColdMs);
  }

  /// Whether a request is intended for another target.
  bool isMisdirected(const Message &Request) const {
    const std::string TargetId = Request.field(Options.Fields.TargetId);
    return !TargetId.empty() && TargetId != Options.Id;
  }

  std::string markOf(const Message &Request) const {
    return Request.field(Options.Fields.RequestId.empty()
                             ? "x-request-mark"
                             : Options.Fields.RequestId);
  }

  asio::awaitable<void> run(Tcp::socket &Socket, const Message &Request) {
    if (isMisdirected(Request)) {
      ++Misdirected;
      const std::string Fields =
          Options.Fields.NotRun + ": 1\r\n" + requestIdField(markOf(Request));
      co_await send(Socket, responseText(421, Fields, ""));
      co_return;
    }
    const int Incarnation = Crashes;
    const std::string Mark = markOf(Request);
    ++Runs[Mark];
    ++Total;
    ++InFlight;
    const int Capacity = capacity();
    record(Capacity);
    if (Request.field("x-test-crash") == "1" || crashesWhileCold(Capacity)) {
      crash();
      co_return;
    }
    int Latency = usualLatency();
    if (const auto Requested = queryValue(Request.word(1), "latency_ms"))
      Latency = std::stoi(*Requested);
    // Above its capacity, the target is slower for all requests.
    if (InFlight > Capacity)
      Latency = Latency * 2 * InFlight / Capacity;
    do {
      co_await sleepFor(std::chrono::milliseconds(Latency));
    } while (Stall != 0 && Incarnation == Crashes);
    if (Incarnation != Crashes)
      co_return;
    --InFlight;
    if (CloseNext > 0) {
      --CloseNext;
      Socket.close();
      co_return;
    }
    if (const auto Kind = queryValue(Request.word(1), "endless")) {
      co_await sendEndlessly(Socket, *Kind);
    }
    co_await send(Socket, answer(Request, Mark));
  }

  /// Sends bytes of an answer that does not end until the connection closes.
  asio::awaitable<void> sendEndlessly(Tcp::socket &Socket,
                                      const std::string &Kind) {
    constexpr std::size_t BlockBytes = 16 * 1024;
    constexpr std::size_t MaxBytes = 256 * 1024 * 1024;
    const auto [Start, Repeat] = endlessAnswer(Kind);
    std::string Block = Repeat;
    while (Block.size() < BlockBytes)
      Block += Repeat;
    ++EndlessAnswers;
    try {
      co_await send(Socket, Start);
      for (std::size_t Sent = 0; Sent < MaxBytes; Sent += Block.size()) {
        co_await send(Socket, Block);
      }
      // Waits for the end of the connection.
      std::string Buffer;
      co_await readMessage(Socket, Buffer);
    } catch (const std::exception &) {
      --EndlessAnswers;
      throw;
    }
  }

  /// The beginning of an endless answer and what follows it again and again.
  static std::pair<std::string, std::string>
  endlessAnswer(const std::string &Kind) {
    const std::string Head = "HTTP/1.1 200 OK\r\n";
    const std::string Chunked = Head + "Transfer-Encoding: chunked\r\n\r\n";
    if (Kind == "status")
      return {"HTTP/1.1 200 ", "x"};
    if (Kind == "interim")
      return {"", "HTTP/1.1 103 Hints\r\na: b\r\n\r\n"};
    if (Kind == "field")
      return {Head + "X: ", "x"};
    if (Kind == "body")
      return {Head + "Content-Length: 999999999999\r\n\r\n", "x"};
    if (Kind == "until-close")
      return {Head + "\r\n", "x"};
    if (Kind == "large-chunks")
      return {Chunked, "1000\r\n" + std::string(0x1000, 'x') + "\r\n"};
    if (Kind == "extension")
      return {Chunked + "1;", "x"};
    if (Kind == "chunks")
      return {Chunked, "1\r\nx\r\n"};
    if (Kind == "trailer")
      return {Chunked + "0\r\n", "a: b\r\n"};
    return {"", "x"};
  }

  int usualLatency() {
    if (!Options.Spread)
      return Options.LatencyMs;
    std::exponential_distribution<double> RandomPart(1.0);
    return static_cast<int>(Options.LatencyMs *
                            (0.5 + 0.5 * RandomPart(Random)));
  }

  bool crashesWhileCold(int Capacity) const {
    constexpr int Percent = 100;
    return Options.OverloadCrashPercent > 0 && Capacity < Options.Slots &&
           InFlight * Percent > Capacity * Options.OverloadCrashPercent;
  }

  void record(int Capacity) {
    MaxInFlight = std::max(MaxInFlight, InFlight);
    if (InFlight > Options.Slots)
      ++SlotOverloads;
    else if (InFlight > Capacity)
      ++ColdOverloads;
    if (Capacity < Options.Slots)
      MaxColdExcess = std::max(MaxColdExcess, InFlight - Capacity);
  }

  /// The field by which every answer names its request, if the scheme has one.
  std::string requestIdField(const std::string &Mark) const {
    if (Options.Fields.RequestId.empty())
      return "";
    return Options.Fields.RequestId + ": " + Mark + "\r\n";
  }

  std::string answer(const Message &Request, const std::string &Mark) const {
    std::string Body = "mark=" + Mark + "\n";
    if (const auto Bytes = queryValue(Request.word(1), "bytes"))
      Body.resize(std::max<std::size_t>(Body.size(), std::stoull(*Bytes)), '.');
    if (Request.field("x-test-echo") == "1")
      Body = nlohmann::json(Request.Fields).dump();
    std::string Fields =
        std::string(MarkField) + ": " + Mark + "\r\n" + requestIdField(Mark);
    if (!Options.Fields.RequestId.empty())
      Fields += Options.Fields.Signature + ": signed\r\n";
    return responseText(200, Fields, Body);
  }

  void crash() {
    ++Crashes;
    InFlight = 0;
    std::error_code Ignored;
    Acceptor.close(Ignored);
    for (Tcp::socket &Socket : Sockets)
      Socket.close(Ignored);
    asio::co_spawn(Context, restart(Crashes), asio::detached);
  }

  asio::awaitable<void> restart(int Incarnation) {
    co_await sleepFor(std::chrono::milliseconds(Options.RestartMs));
    if (Incarnation == Crashes)
      listen();
  }

  asio::io_context &Context;
  TargetOptions Options;
  Tcp::acceptor Acceptor;
  std::list<Tcp::socket> Sockets;
  SteadyClock::time_point Started;
  std::map<std::string, int> Runs;
  int Total = 0;
  int InFlight = 0;
  int MaxInFlight = 0;
  int SlotOverloads = 0;
  int ColdOverloads = 0;
  int MaxColdExcess = 0;
  int Crashes = 0;
  int Misdirected = 0;
  int Accepted = 0;
  int EndlessAnswers = 0; ///< Endless answers whose connection is open.
  int Stall = 0;
  int CloseNext = 0;
  std::mt19937 Random; ///< Seeded by the address, so that targets differ.
};

} // namespace standins

#endif // FESCUEWOOD_TESTS_STANDINS_TARGET_H
