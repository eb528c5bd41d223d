// Tests of connections that end with an answer, mostly in a drain.

#include "callers/CallerServerFixture.h"

using namespace fescuewood;

TEST_GROUP_BASE(CallerClosing, CallerServerFixture){};

TEST(CallerClosing, CutsNoRequestInADrain) {
  DeferAnswers = true;
  Caller Busy(Server.port());
  Caller Idle(Server.port());
  Caller Partial(Server.port());
  Idle.send(get("/idle"));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Received[0].second(okAnswer("idle"));
  Idle.receive();
  Busy.send(get("/busy"));
  Partial.send(
      "POST /half HTTP/1.1\r\nHost: mesh\r\nContent-Length: 4\r\n\r\nbo");
  CHECK(eventually([&] { return receivedCount() == 2; }));

  Server.stopAccepting();

  CHECK(Idle.waitForClose());
  CHECK(Server.unansweredCount() >= 2);
  CHECK_THROWS(std::system_error, Caller(Server.port()));
  Partial.send("dy");
  CHECK(eventually([&] { return receivedCount() == 3; }));
  Received[1].second(okAnswer("whole"));
  Received[2].second(okAnswer("too"));
  const auto Answer = Busy.receive();
  STRCMP_EQUAL("whole", Answer.Body.c_str());
  STRCMP_EQUAL("close", Answer.field("connection").c_str());
  CHECK(Busy.waitForClose());
  STRCMP_EQUAL("too", Partial.receive().Body.c_str());
  CHECK(Partial.waitForClose());
  CHECK(eventually([&] { return Server.unansweredCount() == 0; }));
}

// Guards against answers that are lost behind one that closes its connection:
// it waits for an earlier one while further requests are read.
TEST(CallerClosing, AnswersEveryRequestReadInADrain) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send(get("/slow"));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Server.stopAccepting();
  Client.send(get("/fast"));
  CHECK(eventually([&] { return receivedCount() == 2; }));

  Received[1].second(okAnswer("fast"));
  Client.send(get("/last"));
  CHECK(eventually([&] { return receivedCount() == 3; }));
  Received[2].second(okAnswer("last"));
  Received[0].second(okAnswer("slow"));

  for (const char *Body : {"slow", "fast"}) {
    const auto Answer = Client.receive();
    STRCMP_EQUAL(Body, Answer.Body.c_str());
    STRCMP_EQUAL("keep-alive", Answer.field("connection").c_str());
  }
  const auto Last = Client.receive();
  STRCMP_EQUAL("last", Last.Body.c_str());
  STRCMP_EQUAL("close", Last.field("connection").c_str());
  CHECK(Client.waitForClose());
  CHECK(eventually([&] { return Server.unansweredCount() == 0; }));
}

// Guards against closing a connection on which a request is being read: the
// caller would have to send it again, and could lose the answer before it.
TEST(CallerClosing, AnswersARequestThatIsHalfReadBehindAnAnswerInADrain) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send(
      get("/first") +
      "POST /half HTTP/1.1\r\nHost: mesh\r\nContent-Length: 4\r\n\r\nbo");
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Server.stopAccepting();

  Received[0].second(okAnswer("first"));
  STRCMP_EQUAL("first", Client.receive().Body.c_str());
  Client.send("dy");
  CHECK(eventually([&] { return receivedCount() == 2; }));
  Received[1].second(okAnswer("half"));

  const auto Answer = Client.receive();
  STRCMP_EQUAL("half", Answer.Body.c_str());
  STRCMP_EQUAL("close", Answer.field("connection").c_str());
  CHECK(Client.waitForClose());
}

// Guards against a request that runs although its connection is closing, and
// against a reset that cuts the closing answer short because of unread input.
TEST(CallerClosing, ReadsNothingBehindAClosingAnswer) {
  constexpr int SmallBuffer = 16 * 1024;
  DeferAnswers = true;
  Caller Client(Server.port(), SmallBuffer);
  Client.send(get("/large"));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Server.stopAccepting();

  // The server's system holds the end of the answer until the caller reads.
  const std::string Body(400'000, 'a');
  Received[0].second(okAnswer(Body));
  STRCMP_EQUAL("close", Client.receive(true).field("connection").c_str());
  Client.send(get("/behind") + post("/behind", 2000));
  std::this_thread::sleep_for(std::chrono::milliseconds(50));

  LONGS_EQUAL(Body.size(), Client.receiveBody(Body.size()).size());
  CHECK(Client.waitForClose());
  LONGS_EQUAL(1, receivedCount());
  Client.close();
  CHECK(eventually([&] { return Server.unansweredCount() == 0; }));
}

// Guards against requests behind one that asks to close the connection, which
// ran without an answer (RFC 9112, section 9.6).
TEST(CallerClosing, ReadsNothingBehindARequestThatCloses) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send("GET /last HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\n\r\n" +
              get("/behind"));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Client.send(get("/behind"));

  Received[0].second(okAnswer("last"));

  STRCMP_EQUAL("last", Client.receive().Body.c_str());
  CHECK(Client.waitForClose());
  LONGS_EQUAL(1, receivedCount());
}

// Guards against missing the end of a connection that carries its last request.
TEST(CallerClosing, ReportsADisconnectedCallerWhoseRequestCloses) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send("GET /last HTTP/1.1\r\nHost: mesh\r\nConnection: close\r\n\r\n");
  CHECK(eventually([&] { return receivedCount() == 1; }));

  Client.close();

  CHECK(eventually([&] { return Server.unansweredCount() == 0; }));
  std::lock_guard<std::mutex> Lock(Mutex);
  LONGS_EQUAL(1, Disconnected.size());
}

// Guards against a closing answer that takes the place of a refusal that is
// due behind it.
TEST(CallerClosing, RefusesAnInvalidRequestBehindAnAnswerInADrain) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send(get("/good") + "GET /bad HTTP/1.1\r\nHost : mesh\r\n\r\n");
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Server.stopAccepting();

  Received[0].second(okAnswer("good"));

  STRCMP_EQUAL("good", Client.receive().Body.c_str());
  LONGS_EQUAL(400, Client.receive().status());
  CHECK(Client.waitForClose());
}
