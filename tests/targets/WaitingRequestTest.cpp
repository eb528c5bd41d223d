// Tests of requests that wait for one of the connections to their target.

#include "targets/TargetClient.h"

#include "targets/SigningScheme.h"

#include <chrono>
#include <future>
#include <memory>
#include <string>
#include <utility>

#include <asio.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

std::future<TargetResult> start(TargetClient &Client, const std::string &Id,
                                DurationMs Timeout) {
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  Request.Headers = {{"Id", Id}};
  Request.Idempotent = true;
  Request.Timeout = Timeout;
  const auto Result = std::make_shared<std::promise<TargetResult>>();
  Client.start(std::move(Request), [Result](TargetResult Value) {
    Result->set_value(std::move(Value));
  });
  return Result->get_future();
}

} // namespace

TEST_GROUP(WaitingRequest){};

// Guards against a request that ends only when a connection becomes free.
TEST(WaitingRequest, EndsAtItsTimeout) {
  asio::io_context Context;
  // The system accepts connections, but nobody answers on them.
  const asio::ip::tcp::acceptor Target(
      Context, {asio::ip::make_address("127.0.0.1"), 0});
  TargetClientOptions Options;
  Options.Address =
      "127.0.0.1:" + std::to_string(Target.local_endpoint().port());
  Options.Scheme = signingScheme();
  Options.MaxConnections = 1;
  TargetClient Client(Options);
  std::future<TargetResult> First = start(Client, "first", DurationMs(20'000));
  std::future<TargetResult> Second = start(Client, "second", DurationMs(200));

  const TargetResult Late = Second.get();

  CHECK(First.wait_for(std::chrono::seconds(0)) != std::future_status::ready);
  CHECK(ResultCode::TargetUnreachable == Late.Reason);
  CHECK(Outcome::NotRun == Late.RunOutcome);
}
