#include "callers/HeaderFields.h"
#include "calls/MeshFixture.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(MissingService){};

// Guards against callers that are held for a third of their time, one after the
// other, while their service has no target.
TEST(MissingService, RefusesCallsAtOnceWhenTheirServiceLastinglyHasNoTarget) {
  auto Mesh = makeMesh(6, {}, {});
  CallRequest Request = makeRequest("tag", false);
  Request.Service = "unserved";

  for (int I = 0; I < 40; ++I) {
    Mesh->submit(0, Request);
    Mesh->runFor(SecondUs / 10);
  }

  const FakeCall &Last = Mesh->Calls.back();
  LONGS_EQUAL(503, Last.Answer.Status);
  CHECK(Outcome::NotRun == Last.Answer.RequestOutcome);
  CHECK_COMPARE(Last.AnsweredUs - Last.SentUs, <, SecondUs / 20);
  const std::string *RetryAfter = findField(Last.Answer.Headers, "Retry-After");
  CHECK(RetryAfter);
  STRCMP_EQUAL("2", RetryAfter->c_str()); // 1 to 2 s, rounded up.
}
