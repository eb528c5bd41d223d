// Tests of the client against targets that send bytes without end.

#include "targets/FakeEndlessTarget.h"
#include "targets/TargetClient.h"

#include <algorithm>
#include <future>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using std::chrono::milliseconds;

namespace {

constexpr DurationMs RequestTimeout{10'000};

/// Time in which the client must give up an answer that is known to be
/// unusable.
constexpr DurationMs PromptResult{5000};

/// Limit on one answer.
constexpr std::size_t AnswerLimit = 1024 * 1024;

/// Limit on what a target can send: an answer and the buffers of both sockets.
constexpr std::size_t MaxTakenBytes = AnswerLimit + 16 * 1024 * 1024;

constexpr milliseconds CloseTimeout{3000};
constexpr milliseconds IdleCloseTimeout{5000};

const std::string Head = "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n";
const std::string ChunkedHead = Head + "Transfer-Encoding: chunked\r\n\r\n";

/// Options with the scheme of targets that sign their answers.
TargetClientOptions optionsFor(const FakeEndlessTarget &Target) {
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.MaxAnswerBytes = AnswerLimit;
  Options.Scheme.RequestId = "Id";
  Options.Scheme.Signature = "Signed";
  return Options;
}

std::future<TargetResult> start(TargetClient &Client, const std::string &Path,
                                DurationMs Timeout = RequestTimeout) {
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = Path;
  Request.Headers = {{"Id", "mine"}};
  Request.Timeout = Timeout;
  auto Result = std::make_shared<std::promise<TargetResult>>();
  Client.start(std::move(Request), [Result](TargetResult Value) {
    Result->set_value(std::move(Value));
  });
  return Result->get_future();
}

TargetResult send(TargetClient &Client, const std::string &Path,
                  DurationMs Timeout = RequestTimeout) {
  return start(Client, Path, Timeout).get();
}

struct Case {
  const char *Name;
  std::string Start;
  std::string Repeat;
  ResultCode Reason;
  Outcome Ran;
};

std::vector<Case> headCases() {
  return {
      {"no answer", "", "x", ResultCode::TargetAnswerMalformed,
       Outcome::Unknown},
      {"status line", "HTTP/1.1 200 ", "x", ResultCode::TargetAnswerMalformed,
       Outcome::Unknown},
      {"field line", Head + "X: ", "x", ResultCode::TargetAnswerMalformed,
       Outcome::Ran},
      {"fields", Head, "a: b\r\n", ResultCode::TargetAnswerTooLarge,
       Outcome::Ran},
      {"interim answers", "", "HTTP/1.1 103 Hints\r\na: b\r\n\r\n",
       ResultCode::TargetAnswerMalformed, Outcome::Unknown},
      {"empty interim answers", "", "HTTP/1.1 100\r\n\r\n",
       ResultCode::TargetAnswerMalformed, Outcome::Unknown},
  };
}

std::vector<Case> bodyCases() {
  return {
      {"body above the limit", Head + "Content-Length: 999999999\r\n\r\n", "x",
       ResultCode::TargetAnswerTooLarge, Outcome::Ran},
      {"body without length", Head + "\r\n", "x",
       ResultCode::TargetAnswerTooLarge, Outcome::Ran},
      {"chunks", ChunkedHead, "400\r\n" + std::string(1024, 'x') + "\r\n",
       ResultCode::TargetAnswerTooLarge, Outcome::Ran},
  };
}

std::vector<Case> chunkCases() {
  return {
      {"chunk size", ChunkedHead, "0", ResultCode::TargetConnectionLost,
       Outcome::Ran},
      {"chunk extension", ChunkedHead + "1;", "x",
       ResultCode::TargetAnswerMalformed, Outcome::Ran},
      {"tiny chunks", ChunkedHead, "1\r\nx\r\n",
       ResultCode::TargetAnswerMalformed, Outcome::Ran},
      {"tiny chunks with extensions", ChunkedHead,
       "1;" + std::string(1024, 'x') + "\r\nx\r\n",
       ResultCode::TargetAnswerMalformed, Outcome::Ran},
      {"trailer line", ChunkedHead + "2\r\nok\r\n0\r\na: ", "x",
       ResultCode::TargetConnectionLost, Outcome::Ran},
      {"trailer fields", ChunkedHead + "2\r\nok\r\n0\r\n", "a: b\r\n",
       ResultCode::TargetAnswerMalformed, Outcome::Ran},
  };
}

/// A request whose answer comes slowly.
struct SlowAnswer {
  SlowAnswer(const EndlessBytes &Bytes, DurationMs Timeout)
      : Target(Bytes), Client(optionsFor(Target)),
        Result(start(Client, "/endless", Timeout)) {}

  FakeEndlessTarget Target;
  TargetClient Client;
  std::future<TargetResult> Result;
};

/// Checks that an answer ends promptly with its connection, and that the client
/// then serves another request.
void checkEndsPromptly(const Case &Each) {
  const FakeEndlessTarget Target({Each.Start, Each.Repeat});
  TargetClient Client(optionsFor(Target));

  const TargetResult Result = send(Client, "/endless");

  CHECK_EQUAL_TEXT(static_cast<int>(Each.Reason),
                   static_cast<int>(Result.Reason), Each.Name);
  CHECK_EQUAL_TEXT(static_cast<int>(Each.Ran),
                   static_cast<int>(Result.RunOutcome), Each.Name);
  CHECK_TRUE_TEXT(Result.Duration < PromptResult, Each.Name);
  CHECK_TRUE_TEXT(Target.awaitClosed(CloseTimeout), Each.Name);
  CHECK_TRUE_TEXT(Target.sentBytes() < MaxTakenBytes, Each.Name);
  CHECK_TRUE_TEXT(ResultCode::Ok == send(Client, "/good").Reason, Each.Name);
}

} // namespace

TEST_GROUP(EndlessAnswers){};

TEST(EndlessAnswers, EndlessHeadsEndPromptly) {
  for (const Case &Each : headCases())
    checkEndsPromptly(Each);
}

TEST(EndlessAnswers, EndlessBodiesEndPromptly) {
  for (const Case &Each : bodyCases())
    checkEndsPromptly(Each);
}

// libcurl discards chunk extensions before the client sees the body.
TEST(EndlessAnswers, EndlessChunkFramingEndsPromptly) {
  for (const Case &Each : chunkCases())
    checkEndsPromptly(Each);
}

// Silence is no reason to end an answer, so slow bytes end at the timeout.
TEST(EndlessAnswers, EndlessSlowBytesEndAtTheTimeout) {
  constexpr DurationMs Timeout{1000};
  constexpr milliseconds Pause{50};
  const std::vector<std::pair<std::string, Outcome>> Starts = {
      {"HTTP/1.1 200 ", Outcome::Unknown},
      {Head + "X: ", Outcome::Ran},
      {Head + "\r\n", Outcome::Ran},
      {Head + "Content-Length: 999\r\n\r\n", Outcome::Ran},
      {ChunkedHead + "1;", Outcome::Ran},
      {ChunkedHead + "3e7\r\n", Outcome::Ran},
      {ChunkedHead + "0\r\nX: ", Outcome::Ran},
  };
  std::vector<std::unique_ptr<SlowAnswer>> Answers;
  Answers.reserve(Starts.size());
  for (const auto &[Start, Ran] : Starts)
    Answers.push_back(
        std::make_unique<SlowAnswer>(EndlessBytes{Start, "0", Pause}, Timeout));

  for (std::size_t I = 0; I < Starts.size(); ++I) {
    const char *Start = Starts[I].first.c_str();
    const TargetResult Result = Answers[I]->Result.get();
    CHECK_EQUAL_TEXT(static_cast<int>(ResultCode::TargetTimeout),
                     static_cast<int>(Result.Reason), Start);
    CHECK_EQUAL_TEXT(static_cast<int>(Starts[I].second),
                     static_cast<int>(Result.RunOutcome), Start);
    CHECK_TRUE_TEXT(Result.Duration < PromptResult, Start);
    CHECK_TRUE_TEXT(Answers[I]->Target.awaitClosed(CloseTimeout), Start);
  }
}

TEST(EndlessAnswers, OtherRequestsAreServedBesideEndlessAnswers) {
  const FakeEndlessTarget Target({ChunkedHead + "1;", "x"});
  TargetClient Client(optionsFor(Target));
  constexpr int EndlessRequests = 4;
  std::vector<std::future<TargetResult>> Endless;
  Endless.reserve(EndlessRequests);
  for (int I = 0; I < EndlessRequests; ++I)
    Endless.push_back(start(Client, "/endless"));

  for (int I = 0; I < 10; ++I) {
    const TargetResult Result = send(Client, "/good");
    CHECK(ResultCode::Ok == Result.Reason);
    CHECK(Result.Duration < PromptResult);
  }
  for (auto &Each : Endless)
    CHECK_FALSE(Each.get().Answer.has_value());
}

// Guards against endless answers that are bounded one by one, but not in sum.
TEST(EndlessAnswers, SumOfEndlessAnswersIsBounded) {
  constexpr std::size_t SumLimit = 2 * AnswerLimit;
  constexpr std::size_t EndlessRequests = 24;
  constexpr std::size_t UncountedBytes = 128 * 1024; // Of each answer.
  for (const Case &Each : bodyCases()) {
    const FakeEndlessTarget Target({Each.Start, Each.Repeat});
    TargetClientOptions Options = optionsFor(Target);
    Options.MaxReceivingBytes = SumLimit;
    TargetClient Client(Options);
    std::vector<std::future<TargetResult>> Endless;
    for (std::size_t I = 0; I < EndlessRequests; ++I)
      Endless.push_back(start(Client, "/endless"));

    std::size_t Highest = 0;
    for (auto &Answer : Endless) {
      while (Answer.wait_for(milliseconds(0)) != std::future_status::ready)
        Highest = std::max(Highest, Client.receivingBytes());
      CHECK_EQUAL_TEXT(static_cast<int>(Each.Reason),
                       static_cast<int>(Answer.get().Reason), Each.Name);
    }
    CHECK_TRUE_TEXT(Highest <= SumLimit + AnswerLimit +
                                   EndlessRequests * UncountedBytes,
                    std::to_string(Highest).c_str());
    CHECK(ResultCode::Ok == send(Client, "/good").Reason);
  }
}

TEST(EndlessAnswers, EndlessBytesAfterACompleteAnswerCloseTheConnection) {
  for (const milliseconds Pause : {milliseconds(0), milliseconds(30)}) {
    for (const std::string &Start : {Head + "Content-Length: 2\r\n\r\nok",
                                     ChunkedHead + "2\r\nok\r\n0\r\n\r\n"}) {
      const FakeEndlessTarget Target({Start, "x", Pause});
      TargetClient Client(optionsFor(Target));

      const TargetResult Result = send(Client, "/endless");

      CHECK(ResultCode::Ok == Result.Reason);
      STRCMP_EQUAL("ok", Result.Answer->Body.c_str());
      CHECK(Target.awaitClosed(IdleCloseTimeout));
      CHECK(Target.sentBytes() < MaxTakenBytes);
      CHECK(ResultCode::Ok == send(Client, "/good").Reason);
    }
  }
}
