// Tests that an answer which a target writes once more, late, is never taken
// for the answer to another sending of the same request.

#include "targets/TargetClient.h"

#include "targets/FakeStutteringTarget.h"
#include "targets/SigningScheme.h"

#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

TargetClientOptions optionsFor(const FakeStutteringTarget &Target) {
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.Scheme = signingScheme();
  return Options;
}

std::future<TargetResult> start(TargetClient &Client, const std::string &Id) {
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  if (!Id.empty())
    Request.Headers = {{"Id", Id}};
  Request.Idempotent = true;
  const auto Result = std::make_shared<std::promise<TargetResult>>();
  Client.start(std::move(Request), [Result](TargetResult Value) {
    Result->set_value(std::move(Value));
  });
  return Result->get_future();
}

int statusOf(TargetClient &Client, const std::string &Id) {
  const TargetResult Result = start(Client, Id).get();
  return Result.Answer ? Result.Answer->Status : 0;
}

} // namespace

TEST_GROUP(RepeatedAnswer){};

// Guards against the copy of a success that hides a failure.
TEST(RepeatedAnswer, CopyOfASuccessIsNotTheAnswerToALaterSending) {
  const FakeStutteringTarget Target({200, 500});
  TargetClient Client(optionsFor(Target));
  LONGS_EQUAL(200, statusOf(Client, "same"));

  LONGS_EQUAL(500, statusOf(Client, "same"));
}

// Guards against a sending that waits for the only connection, which the first
// one still uses when the second one starts.
TEST(RepeatedAnswer, CopyOfASuccessIsNotTheAnswerToASendingThatWaited) {
  const FakeStutteringTarget Target({200, 500});
  TargetClientOptions Options = optionsFor(Target);
  Options.MaxConnections = 1;
  TargetClient Client(Options);
  std::future<TargetResult> First = start(Client, "same");
  std::future<TargetResult> Second = start(Client, "same");

  LONGS_EQUAL(200, First.get().Answer->Status);
  LONGS_EQUAL(500, Second.get().Answer->Status);
}

// Guards against the copy of a health answer that hides what the target says of
// itself later.
TEST(RepeatedAnswer, CopyOfAnAnswerWithoutAnIdIsNotTheAnswerToALaterProbe) {
  const FakeStutteringTarget Target({503, 200});
  TargetClient Client(optionsFor(Target));
  LONGS_EQUAL(503, statusOf(Client, ""));

  LONGS_EQUAL(200, statusOf(Client, ""));
}
