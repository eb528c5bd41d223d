// Tests with a target that answers before it has read the whole request, keeps
// the connection and reads on later.

#include "targets/TargetClient.h"

#include "targets/SigningScheme.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

using asio::ip::tcp;

constexpr std::size_t BodyBytes = 4 << 20;

/// Answers each request as soon as it has its head, and reads its body later.
class EarlyTarget {
public:
  explicit EarlyTarget(std::string StatusLine)
      : StatusLine(std::move(StatusLine)),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] { accept(); }) {}

  ~EarlyTarget() {
    std::error_code Ignored;
    tcp::socket Waker(Context);
    Stopping = true;
    Waker.connect(Acceptor.local_endpoint(), Ignored);
    Thread.join();
    for (std::thread &Each : Serving)
      Each.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Whether other bytes than the body's arrived where it was due.
  std::atomic<bool> ReadOtherBytes = false;

private:
  void accept() {
    for (;;) {
      tcp::socket Socket = Acceptor.accept();
      if (Stopping)
        return;
      Serving.emplace_back(
          [this, Peer = std::move(Socket)]() mutable { serve(Peer); });
    }
  }

  void serve(tcp::socket &Socket) {
    constexpr std::chrono::milliseconds Pause{60};
    std::string Received;
    std::error_code Error;
    for (;;) {
      const std::size_t HeadBytes = asio::read_until(
          Socket, asio::dynamic_buffer(Received), "\r\n\r\n", Error);
      if (Error)
        return;
      const std::string Head = Received.substr(0, HeadBytes);
      Received.erase(0, HeadBytes);
      const std::size_t At = Head.find("Id: ");
      asio::write(Socket,
                  asio::buffer(StatusLine + "\r\n" +
                               Head.substr(At, Head.find("\r\n", At) + 2 - At) +
                               "Signed: s\r\nContent-Length: 0\r\n\r\n"),
                  Error);
      if (Head.find("Content-Length") == std::string::npos)
        continue;
      std::this_thread::sleep_for(Pause);
      if (Received.size() < BodyBytes)
        asio::read(Socket, asio::dynamic_buffer(Received),
                   asio::transfer_exactly(BodyBytes - Received.size()), Error);
      const std::string Body = Received.substr(0, BodyBytes);
      Received.erase(0, Body.size());
      if (Body.find_first_not_of('x') != std::string::npos)
        ReadOtherBytes = true;
      if (Error)
        return;
    }
  }

  const std::string StatusLine;
  std::atomic<bool> Stopping = false;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::vector<std::thread> Serving;
  std::thread Thread;
};

TargetResult send(TargetClient &Client, const std::string &Method,
                  const std::string &Id, std::string Body) {
  TargetRequest Request;
  Request.Method = Method;
  Request.Target = "/";
  Request.Headers = {{"Id", Id}};
  Request.Body = std::move(Body);
  std::promise<TargetResult> Result;
  Client.start(std::move(Request), [&Result](TargetResult Value) {
    Result.set_value(std::move(Value));
  });
  return Result.get_future().get();
}

} // namespace

TEST_GROUP(EarlyAnswer){};

// Guards against a request in the place of the rest of an earlier one's body.
TEST(EarlyAnswer, NothingElseIsSentInPlaceOfTheRestOfTheBody) {
  for (const char *StatusLine :
       {"HTTP/1.1 200 OK", "HTTP/1.1 413 Too Large", "HTTP/1.1 500 Failed"}) {
    EarlyTarget Target(StatusLine);
    {
      TargetClientOptions Options;
      Options.Address = Target.address();
      Options.Scheme = signingScheme();
      TargetClient Client(Options);
      for (int Round = 0; Round < 3; ++Round) {
        const std::string Id = std::to_string(Round);
        send(Client, "POST", "long-" + Id, std::string(BodyBytes, 'x'));
        CHECK(send(Client, "GET", "short-" + Id, "").Answer.has_value());
      }
    }
    CHECK_FALSE_TEXT(Target.ReadOtherBytes, StatusLine);
  }
}
