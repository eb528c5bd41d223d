#include "targets/TargetClient.h"

#include "callers/HeaderFields.h"
#include "standins/Target.h"

#include <future>
#include <thread>
#include <vector>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::chrono::seconds WaitTimeout{20};

/// A stand-in target that runs on a dedicated thread.
class RunningTarget {
public:
  explicit RunningTarget(const standins::TargetOptions &Options)
      : Server(Context, Options), Thread([this] { Context.run(); }) {}

  ~RunningTarget() {
    Context.stop();
    Thread.join();
  }

  std::string address() const {
    return "127.30.0.1:" + std::to_string(Server.port());
  }

  /// Runs a command on the target's thread.
  std::string control(const std::string &Command) {
    std::promise<std::string> Done;
    asio::post(Context, [&] { Done.set_value(Server.control(Command)); });
    return Done.get_future().get();
  }

  int runsOf(const std::string &Mark) {
    return nlohmann::json::parse(control("/control/runs")).value(Mark, 0);
  }

private:
  asio::io_context Context;
  standins::Target Server;
  std::thread Thread;
};

standins::TargetOptions options() {
  return {standins::endpointOf("127.30.0.1:0")};
}

TargetRequest request(const std::string &Method, const std::string &Mark) {
  TargetRequest Request;
  Request.Method = Method;
  Request.Target = "/work";
  Request.Headers = {{standins::MarkField, Mark}};
  Request.Idempotent = Method == "GET";
  Request.Timeout = DurationMs(10'000);
  return Request;
}

/// Starts a request and returns the future of its result.
std::future<TargetResult> send(TargetClient &Client,
                               const TargetRequest &Request,
                               std::uint64_t *Id = nullptr) {
  auto Promise = std::make_shared<std::promise<TargetResult>>();
  auto Future = Promise->get_future();
  const auto Started =
      Client.start(Request, [Promise](const TargetResult &Result) {
        Promise->set_value(Result);
      });
  CHECK(Started.has_value());
  if (Id)
    *Id = *Started;
  return Future;
}

TargetResult await(std::future<TargetResult> Future) {
  CHECK(Future.wait_for(WaitTimeout) == std::future_status::ready);
  return Future.get();
}

} // namespace

TEST_GROUP(TargetClient) {
  RunningTarget Target{options()};
  TargetClient Client{{Target.address()}};
};

TEST(TargetClient, ReturnsTheCompleteAnswer) {
  TargetRequest Request = request("GET", "m1");
  Request.Target = "/work?bytes=300000";

  const TargetResult Result = await(send(Client, Request));

  CHECK(ResultCode::Ok == Result.Reason);
  CHECK(Outcome::Ran == Result.RunOutcome);
  LONGS_EQUAL(200, Result.Answer->Status);
  LONGS_EQUAL(300'000, Result.Answer->Body.size());
  STRCMP_EQUAL("m1",
               findField(Result.Answer->Headers, "x-request-mark")->c_str());
  CHECK(findField(Result.Answer->Headers, "Content-Length") == nullptr);
}

TEST(TargetClient, TellsOnWhichConnectionARequestWasSent) {
  const ConnectionUse First = await(send(Client, request("GET", "m1"))).Use;
  const ConnectionUse Second = await(send(Client, request("GET", "m2"))).Use;
  const ConnectionUse New = await(send(Client, request("POST", "m3"))).Use;

  CHECK(First.LocalPort != 0);
  LONGS_EQUAL(1, First.Place);
  LONGS_EQUAL(First.LocalPort, Second.LocalPort);
  LONGS_EQUAL(2, Second.Place);
  CHECK(New.LocalPort != First.LocalPort);
  LONGS_EQUAL(1, New.Place);
}

TEST(TargetClient, ClosesAConnectionThatHasCarriedManyRequests) {
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.MaxConnectionRequests = 3;
  TargetClient Limited(Options);
  std::vector<std::uint32_t> Places;
  for (const std::string Mark : {"m1", "m2", "m3", "m4"})
    Places.push_back(await(send(Limited, request("GET", Mark))).Use.Place);

  CHECK((Places == std::vector<std::uint32_t>{1, 2, 3, 1}));
}

// Answers beyond the memory for them wait, and none is lost or cut.
TEST(TargetClient, ReceivesMoreLargeAnswersThanFitIntoItsMemory) {
  constexpr std::size_t LargeBytes = 900'000;
  TargetClientOptions Options{Target.address()};
  Options.MaxReceivingBytes = LargeBytes / 2;
  TargetClient Small{Options};
  std::vector<std::future<TargetResult>> Answers;
  for (int I = 0; I < 12; ++I) {
    TargetRequest Request = request("GET", "large-" + std::to_string(I));
    Request.Target = "/work?bytes=" + std::to_string(LargeBytes);
    Answers.push_back(send(Small, Request));
  }

  for (std::size_t I = 0; I < Answers.size(); ++I) {
    const TargetResult Result = await(std::move(Answers[I]));
    CHECK(ResultCode::Ok == Result.Reason);
    const std::string Start = "mark=large-" + std::to_string(I) + "\n";
    LONGS_EQUAL(LargeBytes, Result.Answer->Body.size());
    CHECK(Result.Answer->Body.starts_with(Start));
    CHECK(Result.Answer->Body.find_first_not_of('.', Start.size()) ==
          std::string::npos);
  }
}

// Guards against libcurl resending a request, including POST, when a reused
// connection closes before the answer. Each iteration first opens a connection
// that can be reused.
TEST(TargetClient, NeverDoublesARequestWhoseConnectionCloses) {
  for (const std::string Method : {"GET", "POST", "PUT", "DELETE", "HEAD"}) {
    const std::string Mark = "closed-" + Method;
    await(send(Client, request("GET", "warm-" + Method)));
    Target.control("/control/set?close_next=1");

    const TargetResult Result = await(send(Client, request(Method, Mark)));

    CHECK_FALSE(Result.Answer.has_value());
    CHECK(ResultCode::TargetConnectionLost == Result.Reason);
    CHECK(Outcome::Unknown == Result.RunOutcome);
    LONGS_EQUAL(1, Target.runsOf(Mark));
  }
}

// Guards against libcurl silently repeating a read when a reused connection
// closes before the answer.
TEST(TargetClient, RunsAReadOncePerAttemptWhenReusedConnectionsClose) {
  constexpr int Rounds = 25;
  constexpr int RequestsPerRound = 4;
  constexpr int ClosesPerRound = 1;
  int LostCount = 0;

  for (int Round = 0; Round < Rounds; ++Round) {
    Target.control("/control/set?close_next=" + std::to_string(ClosesPerRound));
    std::vector<std::future<TargetResult>> Results;
    Results.reserve(RequestsPerRound);
    for (int I = 0; I < RequestsPerRound; ++I)
      Results.push_back(
          send(Client, request("GET", fmt::format("read-{}-{}", Round, I))));
    for (auto &Each : Results)
      if (await(std::move(Each)).Reason == ResultCode::TargetConnectionLost)
        ++LostCount;
  }

  for (int Round = 0; Round < Rounds; ++Round)
    for (int I = 0; I < RequestsPerRound; ++I)
      LONGS_EQUAL(1, Target.runsOf(fmt::format("read-{}-{}", Round, I)));
  LONGS_EQUAL(Rounds * ClosesPerRound, LostCount);
  const auto Stats = nlohmann::json::parse(Target.control("/control/stats"));
  // Open connections were reused.
  CHECK_TRUE_TEXT(Stats["connections"].get<int>() < Rounds * RequestsPerRound,
                  Stats.dump().c_str());
}

TEST(TargetClient, ReportsNotRunWhenTheTargetIsUnreachable) {
  Target.control("/control/set?restart_ms=600000");
  Target.control("/control/restart");

  const TargetResult Result = await(send(Client, request("POST", "m")));

  CHECK(ResultCode::TargetUnreachable == Result.Reason);
  CHECK(Outcome::NotRun == Result.RunOutcome);
  LONGS_EQUAL(0, Target.runsOf("m"));
}

TEST(TargetClient, ReportsUnknownOutcomeOnTimeout) {
  Target.control("/control/set?stall=1");
  TargetRequest Request = request("POST", "slow");
  Request.Timeout = DurationMs(200);

  const TargetResult Result = await(send(Client, Request));

  CHECK(ResultCode::TargetTimeout == Result.Reason);
  CHECK(Outcome::Unknown == Result.RunOutcome);
}

TEST(TargetClient, RejectsAnAnswerAboveTheLimit) {
  TargetClient Small{{Target.address(), 4, 1000}};
  TargetRequest Request = request("GET", "big");
  Request.Target = "/work?bytes=2000";

  const TargetResult Result = await(send(Small, Request));

  CHECK_FALSE(Result.Answer.has_value());
  CHECK(ResultCode::TargetAnswerTooLarge == Result.Reason);
  CHECK(Outcome::Ran == Result.RunOutcome);
}

TEST(TargetClient, RejectsRequestsThatAreNotValidHttp) {
  TargetRequest InvalidField = request("GET", "m");
  InvalidField.Headers.push_back({"X-Split", "a\r\nX-Other: b"});
  TargetRequest InvalidTarget = request("GET", "m");
  InvalidTarget.Target = "/a HTTP/1.1\r\n";

  for (const TargetRequest &Request : {InvalidField, InvalidTarget}) {
    const TargetResult Result = await(send(Client, Request));

    CHECK(ResultCode::TargetRequestInvalid == Result.Reason);
    CHECK(Outcome::NotRun == Result.RunOutcome);
  }
}

TEST(TargetClient, CancelsARequest) {
  Target.control("/control/set?stall=1");
  std::uint64_t Id = 0;
  auto Future = send(Client, request("GET", "m"), &Id);

  Client.cancel(Id);

  CHECK(ResultCode::TargetCancelled == await(std::move(Future)).Reason);
  LONGS_EQUAL(0, Client.inFlight());
}

TEST(TargetClient, EndsAllRequestsWhenStopped) {
  Target.control("/control/set?stall=1");
  auto Future = send(Client, request("GET", "m"));

  Client.stop();

  CHECK(ResultCode::Stopped == await(std::move(Future)).Reason);
  CHECK_FALSE(Client.start(request("GET", "n"), {}).has_value());
}

TEST(TargetClient, LimitsTheNumberOfUnfinishedRequests) {
  Target.control("/control/set?stall=1");
  TargetClient Small{{Target.address(), 4, 1000, 2}};
  auto First = send(Small, request("GET", "a"));
  auto Second = send(Small, request("GET", "b"));

  CHECK_FALSE(Small.start(request("GET", "c"), {}).has_value());

  Small.stop();
}
