#include "targets/TargetTransfer.h"

#include "targets/FakeCannedTarget.h"
#include "targets/SigningScheme.h"

#include <future>
#include <optional>
#include <string>
#include <utility>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

TargetResult resultFor(const std::string &Bytes,
                       CloseMode Mode = CloseMode::Close) {
  const FakeCannedTarget Target(Bytes, Mode);
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.Scheme = signingScheme();
  TargetClient Client(Options);
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  Request.Headers = {{"Id", "mine"}};
  std::promise<TargetResult> Result;
  Client.start(std::move(Request), [&Result](TargetResult Value) {
    Result.set_value(std::move(Value));
  });
  return Result.get_future().get();
}

struct Case {
  const char *Bytes;
  ResultCode Reason;
  Outcome Ran;
};

} // namespace

TEST_GROUP(TargetTransfer){};

// A successful answer is accepted only if it is complete, signed and has the ID
// of its request. Outcome::NotRun is reported only if the target states it.
TEST(TargetTransfer, ValidatesAnswersOfASigningTarget) {
  const Case Cases[] = {
      {"HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\nContent-Length: "
       "2\r\n\r\nok",
       ResultCode::Ok, Outcome::Ran},
      {"HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nContent-Length: "
       "2\r\n\r\nok",
       ResultCode::TargetAnswerForeign, Outcome::Unknown},
      {"HTTP/1.1 200 OK\r\nId: mine\r\nContent-Length: 2\r\n\r\nok",
       ResultCode::TargetAnswerUnproven, Outcome::Unknown},
      {"HTTP/1.1 200 OK\r\nSigned: s\r\nContent-Length: 2\r\n\r\nok",
       ResultCode::TargetAnswerUnproven, Outcome::Unknown},
      {"HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\nContent-Encoding: "
       "gzip\r\nContent-Length: 2\r\n\r\nok",
       ResultCode::TargetAnswerUnproven, Outcome::Unknown},
      {"HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\nContent-Length: "
       "9\r\n\r\nok",
       ResultCode::TargetConnectionLost, Outcome::Ran},
      {"HTTP/1.1 503 Busy\r\nId: mine\r\nUnrun: 1\r\nContent-Length: 0\r\n\r\n",
       ResultCode::TargetRefused, Outcome::NotRun},
      {"HTTP/1.1 421 Other\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
       ResultCode::TargetMistaken, Outcome::NotRun},
      {"HTTP/1.1 500 Failed\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
       ResultCode::Ok, Outcome::Ran},
      {"no answer at all\r\n\r\n", ResultCode::TargetAnswerMalformed,
       Outcome::Unknown},
  };
  for (const Case &Each : Cases) {
    const TargetResult Result = resultFor(Each.Bytes);

    CHECK_EQUAL_TEXT(static_cast<int>(Each.Reason),
                     static_cast<int>(Result.Reason), Each.Bytes);
    CHECK_EQUAL_TEXT(static_cast<int>(Each.Ran),
                     static_cast<int>(Result.RunOutcome), Each.Bytes);
  }
}

TEST(TargetTransfer, DecodesWhatTheTargetSaysAboutItself) {
  const std::string Served = "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n";
  const std::string Refused = "HTTP/1.1 503 Busy\r\nId: mine\r\nUnrun: 1\r\n";
  const std::string End = "Content-Length: 0\r\n\r\n";
  const std::pair<std::string, TargetNotice> Cases[] = {
      {Served + End, {}},
      {Served + "Limit: 24.3\r\n" + End, {24.3, false, false}},
      {Refused + "Limit: 0\r\n" + End, {0.0, false, false}},
      {Refused + "Leaves: 1\r\n" + End, {std::nullopt, false, true}},
      {Served + "Leaves: 0\r\n" + End, {}},
      {Served + "Limit: soon\r\n" + End, {std::nullopt, true, false}},
      {Served + "Limit: -1\r\n" + End, {std::nullopt, true, false}},
      {Served + "Limit: nan\r\n" + End, {std::nullopt, true, false}},
      {Served + "Limit: 5/s\r\n" + End, {std::nullopt, true, false}},
      {Served + "Limit:\r\n" + End, {std::nullopt, true, false}},
  };
  for (const auto &[Bytes, Expected] : Cases)
    CHECK_TRUE_TEXT(resultFor(Bytes).Notice == Expected, Bytes.c_str());
}

TEST(TargetTransfer, AnswersOfOthersSayNothingAboutTheTarget) {
  for (const char *Bytes :
       {"HTTP/1.1 503 Busy\r\nUnrun: 1\r\nLimit: 3\r\nContent-Length: "
        "0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: other\r\nSigned: s\r\nLimit: "
        "3\r\nContent-Length: 0\r\n\r\n",
        "HTTP/1.1 421 Other\r\nId: mine\r\nLimit: 3\r\nContent-Length: "
        "0\r\n\r\n",
        "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\nLimit: "
        "3\r\nContent-Length: 9\r\n\r\nok"})
    CHECK_FALSE_TEXT(resultFor(Bytes).Notice.has_value(), Bytes);
}

TEST(TargetTransfer, AnswerThatEndsWithinItsHeadIsNotComplete) {
  const std::string Heads[] = {
      "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\nContent-Length: 2\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: mine\r\nSigned: "
      "s\r\n\r\n",
      "HTTP/1.1 503 Busy\r\nId: mine\r\nUnrun: 1\r\nContent-Length: "
      "0\r\n\r\n"};
  for (const std::string &Head : Heads) {
    for (std::size_t Length = 0; Length < Head.size(); ++Length) {
      const std::string Bytes = Head.substr(0, Length);
      const TargetResult Result = resultFor(Bytes);

      CHECK_TRUE_TEXT(Result.Reason != ResultCode::Ok, Bytes.c_str());
      CHECK_TRUE_TEXT(Outcome::NotRun != Result.RunOutcome, Bytes.c_str());
    }
  }
}

// Guards against response smuggling: an answer whose end two parsers of RFC
// 9112 could determine differently is rejected, even if it is signed.
TEST(TargetTransfer, RejectsAnswersWithAmbiguousFraming) {
  const std::string Head = "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n";
  const std::string Cases[] = {
      Head + "Transfer-Encoding : chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      Head + "Content-Length : 2\r\n\r\nok",
      Head + " Content-Length: 2\r\n\r\nok",
      Head + "X: a\r\n b\r\nContent-Length: 2\r\n\r\nok",
      Head + "X: a\nContent-Length: 2\r\n\r\nok",
      Head + "X\r\nContent-Length: 2\r\n\r\nok",
      Head + ": a\r\nContent-Length: 2\r\n\r\nok",
      Head + "Content-Length: 2\r\nContent-Length: 2\r\n\r\nok",
      Head + "Content-Length: 2\r\nContent-Length: 1\r\n\r\nok",
      Head + "Content-Length: 2, 2\r\n\r\nok",
      Head + "Content-Length: +2\r\n\r\nok",
      Head + "Content-Length: 2x\r\n\r\nok",
      Head + "Content-Length: 2\r\nTransfer-Encoding: chunked\r\n\r\n"
             "2\r\nok\r\n0\r\n\r\n",
      Head + "Transfer-Encoding: gzip, chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
      Head + "Transfer-Encoding: identity\r\n\r\nok",
      "HTTP/1.1 200 OK\nId: mine\nSigned: s\nContent-Length: 2\n\nok",
  };
  for (const std::string &Bytes : Cases)
    CHECK_EQUAL_TEXT(static_cast<int>(ResultCode::TargetAnswerMalformed),
                     static_cast<int>(resultFor(Bytes).Reason), Bytes.c_str());
}

// Guards against a failure that becomes a success because its status line is
// spoiled, or is joined to an earlier answer that was cut.
TEST(TargetTransfer, RejectsAFailureWhoseStatusLineIsSpoiled) {
  const std::string Rest = "Id: mine\r\nSigned: s\r\nContent-Length: 0\r\n\r\n";
  for (const std::string Start :
       {"HTTP/x 500 Failed\r\n", "HTTP/ 500 Failed\r\n",
        "HTTP/2 500 Failed\r\n", "HTTP/1.1 200 OHTTP/1.1 500 Failed\r\n",
        "HTTP/1.1 200 OK\rHTTP/1.1 500 Failed\r\n",
        "HTTP/1.1 200 OK\r\nX: HTTP/1.1 500 Failed\r\n",
        "HTTP/1.1 200 OK\r\nSigned: oldHTTP/1.1 500 Failed\r\n",
        "HTTP/1.1 200 OK\r\nX: a\rb\r\n", "HTTP/1.1  500 Failed\r\n",
        "HTTP/1.1 500Failed\r\n"})
    CHECK_EQUAL_TEXT(static_cast<int>(ResultCode::TargetAnswerMalformed),
                     static_cast<int>(resultFor(Start + Rest).Reason),
                     Start.c_str());
}

// Guards against an answer of status 000 that a caller gets as an answer.
TEST(TargetTransfer, RejectsAnAnswerOfAStatusThatDoesNotExist) {
  for (const std::string Status : {"000", "0", "099", "600", "999"}) {
    const TargetResult Result =
        resultFor(fmt::format("HTTP/1.1 {} Odd\r\nId: mine\r\nSigned: s\r\n"
                              "Content-Length: 2\r\n\r\nok",
                              Status));

    CHECK_FALSE_TEXT(Result.Answer.has_value(), Status.c_str());
    CHECK_TRUE_TEXT(ResultCode::TargetAnswerMalformed == Result.Reason,
                    Status.c_str());
    CHECK_TRUE_TEXT(Outcome::Unknown == Result.RunOutcome, Status.c_str());
  }
}

// Guards against an unsigned answer that gets its signature from its trailer.
TEST(TargetTransfer, TrailerIsNotTheHeadOfAnotherAnswer) {
  const TargetResult Result = resultFor(
      "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nHTTP/1.1 200 OK: x\r\nId: mine\r\nSigned: s\r\n\r\n");

  CHECK(ResultCode::TargetAnswerUnproven == Result.Reason);
}

// libcurl does not distinguish a malformed chunk from a lost connection.
TEST(TargetTransfer, RejectsAnswersWithMalformedChunks) {
  const std::string Head = "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n"
                           "Transfer-Encoding: chunked\r\n\r\n";
  const std::string Cases[] = {
      Head + "x\r\nok\r\n0\r\n\r\n",
      Head + "2\r\nokX\r\n0\r\n\r\n",
      Head + "\r\n\r\n",
      Head + "2\r\nok\r\n",
      Head + "ffffffffffffffffff\r\nok\r\n0\r\n\r\n",
  };
  for (const std::string &Bytes : Cases)
    CHECK_EQUAL_TEXT(static_cast<int>(ResultCode::TargetConnectionLost),
                     static_cast<int>(resultFor(Bytes).Reason), Bytes.c_str());
}

// A signature in a trailer field does not authenticate the answer.
TEST(TargetTransfer, IgnoresTrailerFields) {
  const TargetResult Result = resultFor(
      "HTTP/1.1 200 OK\r\nId: mine\r\nTransfer-Encoding: chunked\r\n\r\n"
      "0\r\nSigned: s\r\n\r\n");

  CHECK(ResultCode::TargetAnswerUnproven == Result.Reason);
}

// An answer without a length ends when its connection closes. A connection
// reset means that the answer is truncated.
TEST(TargetTransfer, DetectsTruncationOfAnAnswerWithoutLength) {
  const char *Unframed = "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n\r\nok";

  CHECK(ResultCode::Ok == resultFor(Unframed).Reason);
  CHECK(ResultCode::TargetConnectionLost ==
        resultFor(Unframed, CloseMode::Reset).Reason);
}
