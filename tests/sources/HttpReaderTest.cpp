#include "sources/HttpReader.h"

#include "standins/Target.h"

#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs ReadTimeout{10'000};
constexpr std::chrono::seconds PromptResult{5};

/// A stand-in server that answers without end, on a dedicated thread.
class EndlessServer {
public:
  EndlessServer() : Thread([this] { Context.run(); }) {}

  ~EndlessServer() {
    Context.stop();
    Thread.join();
  }

  Endpoint endpoint() const {
    return *Endpoint::parse("127.10.1.2:" + std::to_string(Server.port()));
  }

private:
  asio::io_context Context;
  standins::Target Server{Context, {standins::endpointOf("127.10.1.2:0")}};
  std::thread Thread;
};

/// Answers one request with a body whose pieces are sent at intervals.
class SlowServer {
public:
  static constexpr int Pieces = 10;

  /// \param SentPieces fewer than \ref Pieces for an answer that does not end.
  SlowServer(std::chrono::milliseconds Interval, int SentPieces)
      : Acceptor(Context, standins::endpointOf("127.10.1.3:0")),
        Thread([this, Interval, SentPieces] { serve(Interval, SentPieces); }) {}

  ~SlowServer() { Thread.join(); }

  Endpoint endpoint() const {
    return *Endpoint::parse("127.10.1.3:" +
                            std::to_string(Acceptor.local_endpoint().port()));
  }

private:
  void serve(std::chrono::milliseconds Interval, int SentPieces) {
    asio::ip::tcp::socket Socket = Acceptor.accept();
    std::error_code Error;
    std::string Request;
    asio::read_until(Socket, asio::dynamic_buffer(Request), "\r\n\r\n", Error);
    asio::write(Socket,
                asio::buffer("HTTP/1.1 200 OK\r\nContent-Length: " +
                             std::to_string(Pieces) + "\r\n\r\n"),
                Error);
    for (int Sent = 0; Sent < SentPieces && !Error; ++Sent) {
      std::this_thread::sleep_for(Interval);
      asio::write(Socket, asio::buffer("x", 1), Error);
    }
    // Keeps the connection open until the reader closes it.
    char Byte = 0;
    while (!Error)
      Socket.read_some(asio::buffer(&Byte, 1), Error);
  }

  asio::io_context Context;
  asio::ip::tcp::acceptor Acceptor;
  std::thread Thread;
};

} // namespace

TEST_GROUP(HttpReader){};

TEST(HttpReader, TellsAnAnswerThatIsNotCompleteInTimeFromNone) {
  SlowServer Server(std::chrono::milliseconds(1), SlowServer::Pieces - 1);
  HttpReader Reader(Server.endpoint(), ReadTimeout);

  const auto Result = Reader.get("/", DurationMs(0), DurationMs(50));

  CHECK_FALSE(Result.Value.has_value());
  CHECK(ResultCode::PlatformSlow == Result.Reason);
}

TEST(HttpReader, AnswerMayTakeLongerThanItsBeginning) {
  SlowServer Server(std::chrono::milliseconds(150), SlowServer::Pieces);
  HttpReader Reader(Server.endpoint(), DurationMs(1000));

  const auto Result = Reader.get("/", DurationMs(0), ReadTimeout);

  CHECK(ResultCode::Ok == Result.Reason);
  LONGS_EQUAL(SlowServer::Pieces, Result.Value->size());
}

// libcurl discards chunk extensions before the reader sees the body.
TEST(HttpReader, EndlessAnswersEndPromptly) {
  const EndlessServer Server;
  for (const std::string Kind : {"none", "status", "interim", "field", "body",
                                 "chunks", "extension", "trailer"}) {
    HttpReader Reader(Server.endpoint(), ReadTimeout);
    const auto StartedAt = std::chrono::steady_clock::now();

    const auto Result =
        Reader.get("/?endless=" + Kind, DurationMs(0), ReadTimeout);

    CHECK_FALSE_TEXT(Result.Value.has_value(), Kind.c_str());
    CHECK_FALSE_TEXT(Result.Reason == ResultCode::Ok, Kind.c_str());
    CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - StartedAt < PromptResult,
                    Kind.c_str());
  }
}
