#include "app/TargetAdapter.h"

#include "standins/Target.h"

#include <future>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

TargetResult failedResult(ResultCode Reason, Outcome Ran) {
  TargetResult Result;
  Result.Reason = Reason;
  Result.RunOutcome = Ran;
  return Result;
}

} // namespace

TEST_GROUP(TargetAdapter){};

TEST(TargetAdapter, ReportsNotReachedOnlyIfTheRequestDidNotRun) {
  CHECK(
      RunFailure::NotReached ==
      toRunResult(failedResult(ResultCode::TargetUnreachable, Outcome::NotRun))
          .Failure);
  CHECK(RunFailure::Broken ==
        toRunResult(
            failedResult(ResultCode::TargetConnectionLost, Outcome::Unknown))
            .Failure);
}

// A target that answers must not count as crashed, and a request that cannot be
// sent must not make its target count as down.
TEST(TargetAdapter, CountsOnlyTheTargetsOwnFailuresAgainstIt) {
  for (const ResultCode Reason :
       {ResultCode::TargetAnswerTooLarge, ResultCode::TargetAnswerMalformed})
    CHECK(RunFailure::Unusable ==
          toRunResult(failedResult(Reason, Outcome::Ran)).Failure);
  CHECK(RunFailure::NotSent ==
        toRunResult(
            failedResult(ResultCode::TargetRequestInvalid, Outcome::NotRun))
            .Failure);
}

TEST(TargetAdapter, KeepsTheOutcomeOfAnUnusableAnswer) {
  for (const Outcome Ran : {Outcome::Ran, Outcome::Unknown})
    CHECK(Ran ==
          toRunResult(failedResult(ResultCode::TargetAnswerMalformed, Ran))
              .RunOutcome);
}

TEST(TargetAdapter, DistinguishesTimeoutsFromCancellations) {
  CHECK(RunFailure::TimedOut ==
        toRunResult(failedResult(ResultCode::TargetTimeout, Outcome::Unknown))
            .Failure);
  CHECK(RunFailure::Cancelled ==
        toRunResult(failedResult(ResultCode::TargetCancelled, Outcome::Unknown))
            .Failure);
}

TEST(TargetAdapter, ReportsNotReachedIfTheClientRejectsTheRun) {
  TargetClient Client({.Address = "127.60.0.9:9"});
  TargetAdapter Adapter(Client, TargetSettings());
  Client.stop();
  RunResult Received;

  Adapter.port().Run({}, DurationMs(1000), [&Received](RunResult Result) {
    Received = std::move(Result);
  });

  CHECK(RunFailure::NotReached == Received.Failure);
}

// A target that answers a probe with endless bytes still accepts connections.
TEST(TargetAdapter, EndlessProbeAnswersShowAReachableTarget) {
  for (const std::string Kind : {"none", "status", "body", "extension"}) {
    asio::io_context Context;
    const standins::Target Server(Context,
                                  {standins::endpointOf("127.60.0.8:0")});
    std::thread Thread([&Context] { Context.run(); });
    TargetClient Client(
        {.Address = "127.60.0.8:" + std::to_string(Server.port())});
    TargetSettings Settings;
    Settings.ProbePath = "/health?endless=" + Kind;
    Settings.ProbeTimeout = DurationMs(10'000);
    TargetAdapter Adapter(Client, Settings);
    std::promise<ProbeResult> Probe;

    Adapter.port().Probe(
        [&Probe](const ProbeResult &Result) { Probe.set_value(Result); });

    const bool Reachable = Probe.get_future().get().Reachable;
    Client.stop();
    Context.stop();
    Thread.join();

    CHECK_TRUE_TEXT(Reachable, Kind.c_str());
  }
}
