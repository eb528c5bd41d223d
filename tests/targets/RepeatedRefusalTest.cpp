#include "targets/TargetClient.h"

#include "targets/SigningScheme.h"

#include <future>
#include <string>
#include <thread>
#include <vector>

#include <asio.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

std::string refusal(const std::string &IdField) {
  return "HTTP/1.1 503 Busy\r\n" + IdField +
         "Unrun: 1\r\nContent-Length: 0\r\n\r\n";
}

std::string success(const std::string &Id) {
  return "HTTP/1.1 200 OK\r\nId: " + Id +
         "\r\nSigned: s\r\nContent-Length: 0\r\n\r\n";
}

/// A target that answers the n-th request with the n-th answer, whatever its
/// connection, and runs each request but the first.
class RepeatingTarget {
public:
  explicit RepeatingTarget(std::vector<std::string> Answers)
      : Answers(std::move(Answers)),
        Acceptor(Context, {asio::ip::make_address("127.0.0.1"), 0}),
        Thread([this] {
          accept();
          Context.run();
        }) {}

  ~RepeatingTarget() {
    Context.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.0.0.1:" + std::to_string(Acceptor.local_endpoint().port());
  }

  /// Number of the connection of each request, in order of arrival.
  std::vector<int> ConnectionOf;

private:
  struct Connection {
    asio::ip::tcp::socket Socket;
    int Number;
    std::string Received = {};
  };

  void accept() {
    Acceptor.async_accept(
        [this](std::error_code Error, asio::ip::tcp::socket Socket) {
          if (Error)
            return;
          read(std::make_shared<Connection>(
              Connection{std::move(Socket), Connections++}));
          accept();
        });
  }

  void read(const std::shared_ptr<Connection> &Peer) {
    asio::async_read_until(
        Peer->Socket, asio::dynamic_buffer(Peer->Received), "\r\n\r\n",
        [this, Peer](std::error_code Error, std::size_t Length) {
          if (Error)
            return;
          Peer->Received.erase(0, Length);
          const std::size_t Request = ConnectionOf.size();
          ConnectionOf.push_back(Peer->Number);
          asio::write(Peer->Socket, asio::buffer(Answers.at(Request)), Error);
          read(Peer);
        });
  }

  std::vector<std::string> Answers;
  int Connections = 0;
  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

TargetResult send(TargetClient &Client, TargetRequest Request) {
  std::promise<TargetResult> Result;
  Client.start(std::move(Request), [&Result](TargetResult Value) {
    Result.set_value(std::move(Value));
  });
  return Result.get_future().get();
}

TargetResult send(TargetClient &Client, const std::string &Id) {
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  Request.Headers = {{"Id", Id}};
  return send(Client, std::move(Request));
}

TargetClientOptions optionsFor(const RepeatingTarget &Target) {
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.Scheme = signingScheme();
  return Options;
}

} // namespace

TEST_GROUP(RepeatedRefusal){};

TEST(RepeatedRefusal, RefusalOfAnEarlierRequestPromisesNothing) {
  const RepeatingTarget Target(
      {refusal("Id: first\r\n"), refusal("Id: first\r\n")});
  TargetClient Client(optionsFor(Target));
  CHECK(Outcome::NotRun == send(Client, "first").RunOutcome);

  const TargetResult Result = send(Client, "second");

  CHECK(ResultCode::TargetAnswerForeign == Result.Reason);
  CHECK(Outcome::Unknown == Result.RunOutcome);
}

TEST(RepeatedRefusal,
     RefusalThatNamesNoRequestPromisesNothingOnAUsedConnection) {
  const RepeatingTarget Target({refusal(""), refusal("")});
  TargetClient Client(optionsFor(Target));
  CHECK(Outcome::NotRun == send(Client, "first").RunOutcome);

  const TargetResult Result = send(Client, "second");

  CHECK(ResultCode::TargetAnswerUnproven == Result.Reason);
  CHECK(Outcome::Unknown == Result.RunOutcome);
}

TEST(RepeatedRefusal, RefusedRequestIsSentAgainOnAnotherConnection) {
  const RepeatingTarget Target({refusal("Id: first\r\n"),
                                refusal("Id: first\r\n"),
                                refusal("Id: other\r\n")});
  TargetClient Client(optionsFor(Target));
  send(Client, "first");

  send(Client, "first");
  send(Client, "other");

  LONGS_EQUAL(0, Target.ConnectionOf.at(0));
  LONGS_EQUAL(1, Target.ConnectionOf.at(1));
  CHECK(Target.ConnectionOf.at(2) <= 1);
}

// Guards against a late copy of a 421 answer, which was taken for the answer to
// the same request that is sent again and runs.
TEST(RepeatedRefusal, MisdirectedRequestIsSentAgainOnAnotherConnection) {
  const std::string Misdirected = "HTTP/1.1 421 Misdirected Request\r\n"
                                  "Id: first\r\nContent-Length: 0\r\n\r\n";
  const RepeatingTarget Target({Misdirected, success("first")});
  TargetClient Client(optionsFor(Target));
  CHECK(ResultCode::TargetMistaken == send(Client, "first").Reason);

  const TargetResult Result = send(Client, "first");

  CHECK(ResultCode::Ok == Result.Reason);
  LONGS_EQUAL(1, Target.ConnectionOf.at(1));
}

// Guards against a late copy of a failure in place of the answer to a retry.
TEST(RepeatedRefusal, FailedRequestIsSentAgainOnAnotherConnection) {
  const RepeatingTarget Target(
      {"HTTP/1.1 500 Error\r\nId: first\r\nContent-Length: 0\r\n\r\n",
       success("first"), success("other")});
  TargetClient Client(optionsFor(Target));
  LONGS_EQUAL(500, send(Client, "first").Answer->Status);

  LONGS_EQUAL(200, send(Client, "first").Answer->Status);
  send(Client, "other");

  LONGS_EQUAL(1, Target.ConnectionOf.at(1));
  CHECK(Target.ConnectionOf.at(2) <= 1);
}

// Guards against a late copy of an answer without an ID, which was taken for
// the answer to the next request, whatever its status.
TEST(RepeatedRefusal, AnswerThatNamesNoRequestIsNotUsedOnAUsedConnection) {
  const std::string Nameless =
      "HTTP/1.1 503 Busy\r\nInstance: i\r\nContent-Length: 0\r\n\r\n";
  const RepeatingTarget Target({success("first"), Nameless, success("third")});
  TargetClient Client(optionsFor(Target));
  send(Client, "first");

  const TargetResult Result = send(Client, "second");
  const TargetResult Next = send(Client, "third");

  CHECK(ResultCode::TargetAnswerUnproven == Result.Reason);
  CHECK(Outcome::Unknown == Result.RunOutcome);
  CHECK(ResultCode::Ok == Next.Reason);
  LONGS_EQUAL(1, Target.ConnectionOf.at(2));
}

// Guards against a late copy of a request's answer that is taken for the answer
// to a probe, so that the next request gets the answer to the probe.
TEST(RepeatedRefusal, AnswerThatNamesARequestIsForeignToAProbe) {
  const RepeatingTarget Target(
      {success("first"), success("first"), success("second")});
  TargetClient Client(optionsFor(Target));
  send(Client, "first");

  TargetRequest Probe;
  Probe.Method = "GET";
  Probe.Target = "/health";
  const TargetResult Result = send(Client, std::move(Probe));
  send(Client, "second");

  CHECK(ResultCode::TargetAnswerForeign == Result.Reason);
  LONGS_EQUAL(1, Target.ConnectionOf.at(2));
}
