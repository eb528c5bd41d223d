#include "app/TargetAdapter.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

TargetResult failed(ResultCode Reason, Outcome Ran) {
  TargetResult Result;
  Result.Reason = Reason;
  Result.Ran = Ran;
  return Result;
}

} // namespace

TEST_GROUP(TargetAdapter){};

TEST(TargetAdapter, SaysNotReachedOnlyWhenTheRequestDidNotRun) {
  CHECK(RunFailure::NotReached ==
        toRunResult(failed(ResultCode::TargetUnreachable, Outcome::NotRun))
            .Failure);
  CHECK(RunFailure::Broken ==
        toRunResult(failed(ResultCode::TargetConnectionLost, Outcome::Unknown))
            .Failure);
}

// A target that answers is not taken for one that crashed, and a request that
// cannot be sent does not make its target count as down.
TEST(TargetAdapter, BlamesTheTargetOnlyForItsOwnFailures) {
  for (const ResultCode Reason :
       {ResultCode::TargetAnswerTooLarge, ResultCode::TargetAnswerMalformed})
    CHECK(RunFailure::Unusable ==
          toRunResult(failed(Reason, Outcome::Ran)).Failure);
  CHECK(RunFailure::NotSent ==
        toRunResult(failed(ResultCode::TargetRequestInvalid, Outcome::NotRun))
            .Failure);
}

TEST(TargetAdapter, TellsTimeoutsAndCancellationsApart) {
  CHECK(
      RunFailure::TimedOut ==
      toRunResult(failed(ResultCode::TargetTimeout, Outcome::Unknown)).Failure);
  CHECK(RunFailure::Cancelled ==
        toRunResult(failed(ResultCode::TargetCancelled, Outcome::Unknown))
            .Failure);
}

TEST(TargetAdapter, RefusesARunThatTheClientDoesNotTake) {
  TargetClient Client({.Address = "127.60.0.9:9"});
  TargetAdapter Adapter(Client, TargetSettings());
  Client.stop();
  RunResult Seen;

  Adapter.port().Run({}, DurationMs(1000),
                     [&Seen](RunResult Result) { Seen = std::move(Result); });

  CHECK(RunFailure::NotReached == Seen.Failure);
}
