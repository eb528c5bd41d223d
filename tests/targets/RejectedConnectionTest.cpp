// Tests of requests that may not use the connection which libcurl chose, since
// it has carried their ID before.

#include "targets/TargetClient.h"

#include "targets/SigningScheme.h"

#include <algorithm>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include <asio.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

using asio::ip::tcp;

/// A target that answers each request with its ID and counts connections.
class CountingTarget {
public:
  explicit CountingTarget(std::string StatusLine = "HTTP/1.1 200 OK",
                          std::chrono::milliseconds RunTime = {})
      : StatusLine(std::move(StatusLine)), RunTime(RunTime),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] {
          accept();
          Context.run();
        }) {}

  ~CountingTarget() {
    Context.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  std::size_t mostOpen() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return MostOpen;
  }

  /// Heads and bodies, in order of arrival.
  std::vector<std::string> requests() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Requests;
  }

private:
  struct Connection {
    tcp::socket Socket;
    asio::steady_timer Timer;
    std::string Received = {};
  };
  using ConnectionPtr = std::shared_ptr<Connection>;

  void accept() {
    Acceptor.async_accept([this](std::error_code Error, tcp::socket Socket) {
      if (Error)
        return;
      {
        const std::lock_guard<std::mutex> Lock(Mutex);
        MostOpen = std::max(MostOpen, ++Open);
      }
      read(std::make_shared<Connection>(
          Connection{std::move(Socket), asio::steady_timer(Context)}));
      accept();
    });
  }

  void read(const ConnectionPtr &Peer) {
    asio::async_read_until(
        Peer->Socket, asio::dynamic_buffer(Peer->Received), "\r\n\r\n",
        [this, Peer](std::error_code Error, std::size_t HeadBytes) {
          if (Error)
            return onClosed();
          const std::size_t Bytes = HeadBytes + bodyBytes(Peer->Received);
          const std::size_t Missing =
              Bytes - std::min(Bytes, Peer->Received.size());
          asio::async_read(
              Peer->Socket, asio::dynamic_buffer(Peer->Received),
              asio::transfer_exactly(Missing),
              [this, Peer, Bytes](std::error_code BodyError, std::size_t) {
                if (BodyError)
                  return onClosed();
                onRequest(Peer, Bytes);
              });
        });
  }

  static std::size_t bodyBytes(const std::string &Head) {
    const std::string Name = "Content-Length: ";
    const std::size_t At = Head.find(Name);
    return At == std::string::npos ? 0
                                   : std::stoul(Head.substr(At + Name.size()));
  }

  void onClosed() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    --Open;
  }

  void onRequest(const ConnectionPtr &Peer, std::size_t Bytes) {
    const std::string Request = Peer->Received.substr(0, Bytes);
    Peer->Received.erase(0, Bytes);
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Requests.push_back(Request);
    }
    Peer->Timer.expires_after(RunTime);
    Peer->Timer.async_wait([this, Peer, Request](std::error_code) {
      const std::size_t At = Request.find("Id: ");
      const std::string Id =
          At == std::string::npos
              ? ""
              : Request.substr(At, Request.find("\r\n", At) + 2 - At);
      std::error_code Ignored;
      asio::write(Peer->Socket,
                  asio::buffer(StatusLine + "\r\n" + Id +
                               "Signed: s\r\nContent-Length: 0\r\n\r\n"),
                  Ignored);
      read(Peer);
    });
  }

  const std::string StatusLine;
  const std::chrono::milliseconds RunTime;
  std::mutex Mutex;
  std::size_t Open = 0;
  std::size_t MostOpen = 0;
  std::vector<std::string> Requests;
  asio::io_context Context;
  tcp::acceptor Acceptor;
  std::thread Thread;
};

TargetClientOptions optionsFor(const CountingTarget &Target) {
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.Scheme = signingScheme();
  return Options;
}

TargetRequest requestWith(const std::string &Id) {
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  if (!Id.empty())
    Request.Headers = {{"Id", Id}};
  Request.Idempotent = true;
  return Request;
}

std::future<TargetResult> start(TargetClient &Client, TargetRequest Request,
                                std::uint64_t *Number = nullptr) {
  const auto Result = std::make_shared<std::promise<TargetResult>>();
  const auto Started =
      Client.start(std::move(Request), [Result](TargetResult Value) {
        Result->set_value(std::move(Value));
      });
  if (Number)
    *Number = Started.value_or(0);
  return Result->get_future();
}

TargetResult send(TargetClient &Client, TargetRequest Request) {
  return start(Client, std::move(Request)).get();
}

} // namespace

TEST_GROUP(RejectedConnection){};

// Guards against rejected connections that stay open beside the new ones.
TEST(RejectedConnection, IsNotKeptOpen) {
  CountingTarget Target;
  TargetClient Client(optionsFor(Target));
  for (int Round = 0; Round < 20; ++Round) {
    LONGS_EQUAL(200, send(Client, requestWith("same")).Answer->Status);
    LONGS_EQUAL(
        200, send(Client, requestWith(std::to_string(Round))).Answer->Status);
  }

  CHECK(Target.mostOpen() <= 2);
  LONGS_EQUAL(40, Target.requests().size());
}

TEST(RejectedConnection, ProbesKeepNoFurtherConnectionsOpen) {
  CountingTarget Target;
  TargetClient Client(optionsFor(Target));
  for (int Round = 0; Round < 20; ++Round) {
    LONGS_EQUAL(200, send(Client, requestWith("")).Answer->Status);
    LONGS_EQUAL(
        200, send(Client, requestWith(std::to_string(Round))).Answer->Status);
  }

  CHECK(Target.mostOpen() <= 2);
}

TEST(RejectedConnection, RequestsThatWaitForAConnectionAreAllAnswered) {
  CountingTarget Target("HTTP/1.1 200 OK", std::chrono::milliseconds(5));
  TargetClientOptions Options = optionsFor(Target);
  Options.MaxConnections = 2;
  TargetClient Client(Options);
  constexpr std::size_t Requests = 60;
  std::vector<std::future<TargetResult>> Results;
  Results.reserve(Requests);
  for (std::size_t Number = 0; Number < Requests; ++Number)
    Results.push_back(
        start(Client, requestWith("id-" + std::to_string(Number % 3))));

  for (auto &Result : Results)
    CHECK(ResultCode::Ok == Result.get().Reason);
  CHECK(Target.mostOpen() <= 3); // A closed one may be seen as open for long.
  LONGS_EQUAL(Requests, Target.requests().size());
}

TEST(RejectedConnection, BodyIsSentOnceAndWhole) {
  CountingTarget Target;
  TargetClient Client(optionsFor(Target));
  TargetRequest Request = requestWith("same");
  Request.Method = "POST";
  Request.Body = std::string(200'000, 'x');
  for (int Sending = 0; Sending < 3; ++Sending)
    CHECK(ResultCode::Ok == send(Client, Request).Reason);

  LONGS_EQUAL(3, Target.requests().size());
  for (const std::string &Received : Target.requests())
    CHECK(Received.ends_with("\r\n\r\n" + Request.Body));
}

TEST(RejectedConnection, AnswersWithoutABodyAreRead) {
  for (const char *StatusLine :
       {"HTTP/1.1 204 No Content", "HTTP/1.1 304 Not Modified",
        "HTTP/1.0 200 OK"}) {
    CountingTarget Target(StatusLine);
    TargetClient Client(optionsFor(Target));
    for (const char *Method : {"GET", "HEAD", "GET", "HEAD"}) {
      TargetRequest Request = requestWith("same");
      Request.Method = Method;
      CHECK_TRUE_TEXT(ResultCode::Ok == send(Client, Request).Reason,
                      StatusLine);
    }
  }
}

TEST(RejectedConnection, TimeOfTheRequestIncludesItsRestart) {
  CountingTarget Target("HTTP/1.1 200 OK", std::chrono::milliseconds(300));
  TargetClientOptions Options = optionsFor(Target);
  Options.MaxConnections = 1;
  TargetClient Client(Options);
  auto First = start(Client, requestWith("same"));
  TargetRequest Second = requestWith("same");
  Second.Timeout = DurationMs(450);

  const TargetResult Late = send(Client, std::move(Second));
  First.get();

  CHECK(ResultCode::TargetTimeout == Late.Reason);
  CHECK(Late.Duration < DurationMs(570));
}

TEST(RejectedConnection, EachRequestEndsOnceWhenSomeAreCancelled) {
  CountingTarget Target("HTTP/1.1 200 OK", std::chrono::milliseconds(2));
  TargetClientOptions Options = optionsFor(Target);
  Options.MaxConnections = 3;
  std::vector<std::future<TargetResult>> Results;
  {
    TargetClient Client(Options);
    send(Client, requestWith("same"));
    for (int Number = 0; Number < 200; ++Number) {
      std::uint64_t Started = 0;
      Results.push_back(start(Client, requestWith("same"), &Started));
      if (Number % 2 == 0)
        Client.cancel(Started);
      if (Number % 20 == 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(3));
    }
  }

  for (auto &Result : Results) {
    const TargetResult Ended = Result.get();
    CHECK(Ended.Answer || Ended.Reason == ResultCode::TargetCancelled ||
          Ended.Reason == ResultCode::Stopped);
  }
}
