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

} // namespace

TEST_GROUP(HttpReader){};

// libcurl discards chunk extensions before the reader sees the body.
TEST(HttpReader, EndlessAnswersEndPromptly) {
  const EndlessServer Server;
  for (const std::string Kind : {"none", "status", "interim", "field", "body",
                                 "chunks", "extension", "trailer"}) {
    HttpReader Reader(Server.endpoint(), ReadTimeout);
    const auto StartedAt = std::chrono::steady_clock::now();

    const auto Result = Reader.get("/?endless=" + Kind, DurationMs(0));

    CHECK_FALSE_TEXT(Result.Value.has_value(), Kind.c_str());
    CHECK_FALSE_TEXT(Result.Reason == ResultCode::Ok, Kind.c_str());
    CHECK_TRUE_TEXT(std::chrono::steady_clock::now() - StartedAt < PromptResult,
                    Kind.c_str());
  }
}
