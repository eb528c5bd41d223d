#include "targets/TargetTransfer.h"

#include "targets/FakeCannedTarget.h"

#include <future>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Targets that sign their answers.
HeaderScheme signingScheme() {
  HeaderScheme Scheme;
  Scheme.RequestId = "Id";
  Scheme.Signature = "Signed";
  Scheme.NotRun = "Unrun";
  Scheme.TargetInstance = "Meant";
  return Scheme;
}

TargetResult answered(const std::string &Bytes, Ending End = Ending::Close) {
  const FakeCannedTarget Target(Bytes, End);
  TargetClientOptions Options;
  Options.Address = Target.address();
  Options.Scheme = signingScheme();
  TargetClient Client(Options);
  TargetRequest Request;
  Request.Method = "GET";
  Request.Target = "/";
  Request.Headers = {{"Id", "mine"}};
  std::promise<TargetResult> Result;
  Client.start(std::move(Request),
               [&Result](TargetResult R) { Result.set_value(std::move(R)); });
  return Result.get_future().get();
}

struct Case {
  const char *Bytes;
  ResultCode Reason;
  Outcome Ran;
};

} // namespace

TEST_GROUP(TargetTransfer){};

// A success counts only whole, signed and under the id of its request; and
// "not run" only where the target itself says so.
TEST(TargetTransfer, JudgesEachAnswerOfASigningTarget) {
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
       ResultCode::TargetRefused, Outcome::NotRun},
      {"HTTP/1.1 500 Failed\r\nId: mine\r\nContent-Length: 0\r\n\r\n",
       ResultCode::Ok, Outcome::Ran},
      {"no answer at all\r\n\r\n", ResultCode::TargetAnswerMalformed,
       Outcome::Unknown},
  };
  for (const Case &Each : Cases) {
    const TargetResult Result = answered(Each.Bytes);

    CHECK_EQUAL_TEXT(static_cast<int>(Each.Reason),
                     static_cast<int>(Result.Reason), Each.Bytes);
    CHECK_EQUAL_TEXT(static_cast<int>(Each.Ran), static_cast<int>(Result.Ran),
                     Each.Bytes);
  }
}

// An answer without a length ends with its connection; a reset is no end.
TEST(TargetTransfer, TellsTheEndOfAnUnframedAnswerFromItsCut) {
  const char *Unframed = "HTTP/1.1 200 OK\r\nId: mine\r\nSigned: s\r\n\r\nok";

  CHECK(ResultCode::Ok == answered(Unframed).Reason);
  CHECK(ResultCode::TargetConnectionLost ==
        answered(Unframed, Ending::Reset).Reason);
}
