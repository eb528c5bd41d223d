/// \file
/// Fixture of the tests of the callers' server: a server whose requests are
/// recorded and answered at once or by the test, and callers' connections.

#ifndef FESCUEWOOD_TESTS_CALLERS_CALLERSERVERFIXTURE_H
#define FESCUEWOOD_TESTS_CALLERS_CALLERSERVERFIXTURE_H

#include "callers/CallerServer.h"
#include "standins/Http.h"
#include "support/Await.h"

#include <chrono>
#include <cstdint>
#include <deque>
#include <functional>
#include <mutex>
#include <sstream>
#include <string>
#include <system_error>
#include <thread>
#include <utility>
#include <vector>

#include <nlohmann/json.hpp>

// Last, since it replaces the operator new.
#include <CppUTest/TestHarness.h>

namespace fescuewood {

inline constexpr std::chrono::seconds CallerWaitTimeout{20};

/// A caller's connection with blocking reads.
class Caller {
public:
  /// \param ReceiveBuffer bytes that the system receives ahead of the reads; 0
  ///                      for its own choice.
  explicit Caller(std::uint16_t Port, int ReceiveBuffer = 0) : Socket(Context) {
    Socket.open(standins::Tcp::v4());
    if (ReceiveBuffer > 0)
      Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Socket.connect({asio::ip::make_address("127.30.0.2"), Port});
  }

  void send(const std::string &Text) {
    std::error_code Ignored;
    asio::write(Socket, asio::buffer(Text), Ignored);
  }

  standins::Message receive(bool HeadOnly = false) {
    std::string Head;
    std::error_code Error;
    while (Head.find("\r\n\r\n") == std::string::npos) {
      char Byte = 0;
      if (asio::read(Socket, asio::buffer(&Byte, 1), Error) == 0)
        return {};
      Head += Byte;
    }
    standins::Message Answer = standins::parseHead(Head);
    if (!HeadOnly)
      Answer.Body =
          receiveBody(std::stoul("0" + Answer.field("content-length")));
    return Answer;
  }

  /// Reads \p Size bytes, or fewer if the connection ends before.
  std::string receiveBody(std::size_t Size) {
    std::string Body(Size, '\0');
    std::error_code Error;
    Body.resize(asio::read(Socket, asio::buffer(Body), Error));
    return Body;
  }

  /// Blocks until the next byte; true if the server closed the connection.
  bool waitForClose() {
    char Byte = 0;
    std::error_code Error;
    return asio::read(Socket, asio::buffer(&Byte, 1), Error) == 0;
  }

  void close() { Socket.close(); }

private:
  asio::io_context Context;
  standins::Tcp::socket Socket;
};

inline std::string post(const std::string &Target, std::size_t Bytes) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: mesh\r\nContent-Length: " + std::to_string(Bytes) +
         "\r\n\r\n" + std::string(Bytes, 'b');
}

inline std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: mesh\r\n\r\n";
}

inline std::string chunkedHead(const std::string &Target) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\n";
}

inline std::string chunk(std::size_t Bytes) {
  std::ostringstream Text;
  Text << std::hex << Bytes << "\r\n" << std::string(Bytes, 'b') << "\r\n";
  return Text.str();
}

inline const std::string LastChunk = "0\r\n\r\n";

inline CallAnswer okAnswer(std::string Body) {
  CallAnswer Answer;
  Answer.Status = 200;
  Answer.Body = std::move(Body);
  return Answer;
}

inline bool eventually(const std::function<bool()> &Condition) {
  return waitUntil(Condition, CallerWaitTimeout, std::chrono::milliseconds(2));
}

/// The server of a test; the requests are recorded in order.
struct CallerServerFixture : public Utest {
  std::mutex Mutex;
  std::vector<std::pair<CallerRequest, AnswerHook>> Received;
  std::vector<std::uint64_t> Disconnected;
  std::vector<Event> Events;
  bool DeferAnswers = false;
  CallerServer Server{options(),
                      [this](CallerRequest Request, const AnswerHook &Answer) {
                        onRequest(std::move(Request), Answer);
                      },
                      [this](std::uint64_t Number) {
                        std::lock_guard<std::mutex> Lock(Mutex);
                        Disconnected.push_back(Number);
                      },
                      [this](const Event &Value) {
                        std::lock_guard<std::mutex> Lock(Mutex);
                        Events.push_back(Value);
                      }};

  static CallerServerOptions options() {
    CallerServerOptions Options;
    Options.Address = "127.30.0.2";
    Options.MaxHeaderBytes = 2000;
    Options.MaxBodyBytes = 5000;
    Options.DrainGrace = DurationMs(20);
    return Options;
  }

  static CallerServerOptions smallBudget(std::size_t MaxBodyBytes,
                                         std::size_t MaxHeldBytes) {
    CallerServerOptions Options = options();
    Options.MaxBodyBytes = MaxBodyBytes;
    Options.MaxHeldBytes = MaxHeldBytes;
    return Options;
  }

  RequestHook requestHook() {
    return [this](CallerRequest Request, const AnswerHook &Answer) {
      onRequest(std::move(Request), Answer);
    };
  }

  void onRequest(CallerRequest Request, const AnswerHook &Answer) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const std::string Body = Request.Target + Request.Body;
    Received.emplace_back(std::move(Request), Answer);
    if (!DeferAnswers)
      Answer(okAnswer(Body));
  }

  std::size_t receivedCount() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Received.size();
  }

  void setup() override { CHECK(Server.start()); }
  void teardown() override { Server.stop(); }
};

} // namespace fescuewood

#endif // FESCUEWOOD_TESTS_CALLERS_CALLERSERVERFIXTURE_H
