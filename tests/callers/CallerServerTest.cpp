#include "callers/CallerServerFixture.h"

#include "callers/HeaderFields.h"

using namespace fescuewood;

TEST_GROUP_BASE(CallerServer, CallerServerFixture){
    void checkRefused(const std::string &Text, int Status,
                      ResultCode Reason){Caller Client(Server.port());
Client.send(Text);

const auto Answer = Client.receive();

LONGS_EQUAL(Status, Answer.status());
const auto Json = nlohmann::json::parse(Answer.Body);
LONGS_EQUAL(static_cast<int>(Reason), Json["code"].get<int>());
STRCMP_EQUAL("not-run", Json["outcome"].get<std::string>().c_str());
CHECK(Client.waitForClose());
LONGS_EQUAL(0, receivedCount());
}
}
;

TEST(CallerServer, AnswersConsecutiveRequestsOnOneConnection) {
  Caller Client(Server.port());

  for (const std::string Target : {"/a", "/b?c=d"}) {
    Client.send(get(Target));
    const auto Answer = Client.receive();

    LONGS_EQUAL(200, Answer.status());
    STRCMP_EQUAL(Target.c_str(), Answer.Body.c_str());
  }
}

TEST(CallerServer, ExtractsTimeoutAndDepthFromHeaderFields) {
  Caller Client(Server.port());

  Client.send("GET / HTTP/1.1\r\nHost: mesh\r\nX-Request-Timeout-Ms: 250\r\n"
              "X-Request-Depth: 3\r\nConnection: X-Hop\r\nX-Hop: 1\r\n"
              "X-Kept: 1\r\n\r\n");
  Client.receive();

  const CallerRequest &Request = Received.at(0).first;
  CHECK(std::optional(DurationMs(250)) == Request.Remaining);
  LONGS_EQUAL(3, Request.Depth);
  CHECK((std::vector<Header>{{"Host", "mesh"}, {"X-Kept", "1"}}) ==
        Request.Headers);
}

TEST(CallerServer, RefusesInvalidRequestsWithAResultCode) {
  const std::string Long(3000, 'x');
  const std::string Large(6000, 'b');

  checkRefused("nonsense\r\n\r\n", 501, ResultCode::MethodUnknown);
  checkRefused("GET / HTTP/x.1\r\n\r\n", 400, ResultCode::RequestMalformed);
  checkRefused("GET / HTTP/1.1\r\nX: " + Long + "\r\n\r\n", 431,
               ResultCode::RequestHeadTooLarge);
  checkRefused("GET /" + Long + " HTTP/1.1\r\n\r\n", 431,
               ResultCode::RequestHeadTooLarge);
  checkRefused("POST / HTTP/1.1\r\nContent-Length: 6000\r\n\r\n" + Large, 413,
               ResultCode::RequestBodyTooLarge);
  checkRefused("POST / HTTP/1.1\r\nHost: mesh\r\n"
               "Transfer-Encoding: chunked\r\n\r\n1770\r\n" +
                   Large + "\r\n0\r\n\r\n",
               413, ResultCode::RequestBodyTooLarge);
  checkRefused("CONNECT a:1 HTTP/1.1\r\n\r\n", 501, ResultCode::MethodUnknown);
}

// The refusal of an invalid request is written after the answers to earlier
// requests and never replaces one of them.
TEST(CallerServer, AnswersValidRequestsBeforeAnInvalidOne) {
  DeferAnswers = true;
  Caller Client(Server.port());

  Client.send(get("/good") + "GET /bad HTTP/1.1\r\nHost : mesh\r\n\r\n");
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Received[0].second(okAnswer("good"));

  STRCMP_EQUAL("good", Client.receive().Body.c_str());
  LONGS_EQUAL(400, Client.receive().status());
  CHECK(Client.waitForClose());
  LONGS_EQUAL(1, receivedCount());
}

// Guards against limits on the number of fields that refuse a head within its
// limit, and against heads whose fields exhaust the memory of a node.
TEST(CallerServer, ReceivesAsManyFieldsAsAHeadHolds) {
  constexpr std::size_t MaxFields = 2000 / MinFieldBytes;
  const auto Request = [](std::size_t Fields) {
    std::string Text = "GET / HTTP/1.1\r\nHost: mesh\r\n";
    for (std::size_t I = 1; I < Fields; ++I)
      Text += "x:\r\n";
    return Text + "\r\n";
  };

  checkRefused(Request(MaxFields + 1), 431, ResultCode::RequestHeadTooLarge);
  Caller Client(Server.port());
  Client.send(Request(MaxFields));
  LONGS_EQUAL(200, Client.receive().status());
  LONGS_EQUAL(MaxFields, Received.at(0).first.Headers.size());
}

// Limits declared by operators apply in addition to the node's own, from the
// next request on.
TEST(CallerServer, EnforcesDeclaredLimits) {
  CallerLimits DeclaredLimits;
  DeclaredLimits.MaxHeaderBytes = 200;
  DeclaredLimits.MaxBodyBytes = 100;
  DeclaredLimits.HeaderTimeout = DurationMs(60'000);
  DeclaredLimits.IdleTimeout = DurationMs(60'000);
  Server.setLimits(DeclaredLimits);

  checkRefused(post("/p", 101), 413, ResultCode::RequestBodyTooLarge);
  checkRefused("GET / HTTP/1.1\r\nHost: mesh\r\nX: " + std::string(200, 'x') +
                   "\r\n\r\n",
               431, ResultCode::RequestHeadTooLarge);
  Caller Client(Server.port());
  Client.send(post("/p", 100));
  LONGS_EQUAL(200, Client.receive().status());
}

TEST(CallerServer, RefusesAHeadThatExceedsTheHeaderTimeout) {
  CallerLimits DeclaredLimits;
  DeclaredLimits.MaxHeaderBytes = 2000;
  DeclaredLimits.HeaderTimeout = DurationMs(100);
  Server.setLimits(DeclaredLimits);

  checkRefused("GET / HTTP/1.1\r\nHost:", 408, ResultCode::RequestHeadTimeout);
}

// A connection with an unanswered or recently answered request is not idle.
TEST(CallerServer, ClosesOnlyIdleConnections) {
  CallerLimits DeclaredLimits;
  DeclaredLimits.MaxHeaderBytes = 2000;
  DeclaredLimits.HeaderTimeout = DurationMs(60'000);
  DeclaredLimits.IdleTimeout = DurationMs(2000);
  Server.setLimits(DeclaredLimits);
  DeferAnswers = true;
  Caller IdleClient(Server.port());
  Caller ActiveClient(Server.port());
  ActiveClient.send(get("/slow"));

  CHECK(IdleClient.waitForClose());

  CHECK(eventually([&] { return receivedCount() == 1; }));
  Received[0].second(okAnswer("slow"));
  STRCMP_EQUAL("slow", ActiveClient.receive().Body.c_str());
  DeferAnswers = false;
  ActiveClient.send(get("/next"));
  LONGS_EQUAL(200, ActiveClient.receive().status());
}

// A trailer field could otherwise add metadata that was not in the head.
TEST(CallerServer, DropsTrailerFields) {
  Caller Client(Server.port());

  Client.send("POST /p HTTP/1.1\r\nHost: mesh\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n0\r\nX-Late: 1\r\n\r\n");

  STRCMP_EQUAL("/pab", Client.receive().Body.c_str());
  CHECK((std::vector<Header>{{"Host", "mesh"}}) ==
        Received.at(0).first.Headers);
}

TEST(CallerServer, SendsContinueWhenTheCallerExpectsIt) {
  Caller Client(Server.port());

  Client.send("POST /p HTTP/1.1\r\nHost: mesh\r\nExpect: 100-continue\r\n"
              "Content-Length: 4\r\n\r\n");
  LONGS_EQUAL(100, Client.receive().status());
  Client.send("body");

  STRCMP_EQUAL("/pbody", Client.receive().Body.c_str());
}

TEST(CallerServer, OmitsTheBodyWhereHttpForbidsIt) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send("HEAD /h HTTP/1.1\r\nHost: mesh\r\n\r\n");
  CHECK(eventually([&] { return receivedCount() == 1; }));

  CallAnswer HeadAnswer = okAnswer("");
  HeadAnswer.Headers = {{"Content-Length", "300"}};
  Received[0].second(HeadAnswer);

  const auto Answer = Client.receive(true);
  LONGS_EQUAL(200, Answer.status());
  STRCMP_EQUAL("300", Answer.field("content-length").c_str());
  Client.send(get("/next"));
  CHECK(eventually([&] { return receivedCount() == 2; }));
  Received[1].second(okAnswer("next"));
  STRCMP_EQUAL("next", Client.receive().Body.c_str());
}

TEST(CallerServer, ReportsADisconnectedCaller) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send(get("/a"));
  CHECK(eventually([&] { return receivedCount() == 1; }));

  Client.close();

  CHECK(eventually([&] { return Server.unansweredCount() == 0; }));
  std::lock_guard<std::mutex> Lock(Mutex);
  CHECK((std::vector<std::uint64_t>{Received[0].first.Number}) == Disconnected);
}

// The event lets operators find out why a caller received no answer.
TEST(CallerServer, ReportsAnAnswerThatWasNotWritten) {
  DeferAnswers = true;
  Caller Client(Server.port());
  Client.send("GET /a HTTP/1.1\r\nHost: mesh\r\nX-Request-Id: r1\r\n\r\n");
  CHECK(eventually([&] { return receivedCount() == 1; }));

  // Larger than all socket buffers, so that part of it remains unwritten.
  Received[0].second(okAnswer(std::string(64 << 20, 'a')));
  Client.receive(true);
  Client.close();

  CHECK(eventually([&] { return Server.unansweredCount() == 0; }));
  std::lock_guard<std::mutex> Lock(Mutex);
  LONGS_EQUAL(1, Events.size());
  CHECK(EventId::AnswerNotWritten == Events[0].Id);
  STRCMP_EQUAL("r1", Events[0].Fields[0].Value.c_str());
}

TEST(CallerServer, ReportsWhyItCannotListen) {
  CallerServerOptions PortInUse = options();
  PortInUse.Port = Server.port();
  CallerServer Second(PortInUse, {}, {}, {});
  CallerServerOptions InvalidAddress = options();
  InvalidAddress.Address = "not an address";
  CallerServer Third(InvalidAddress, {}, {}, {});

  CHECK_FALSE(Second.start());
  CHECK(ResultCode::AddressBusy == Second.lastReason());
  CHECK_FALSE(Third.start());
  CHECK(ResultCode::AddressInvalid == Third.lastReason());
}

TEST(CallerServer, DropsAnswersAfterItHasStopped) {
  DeferAnswers = true;
  AnswerHook LateAnswer;
  {
    CallerServer ShortLived(
        options(),
        [&](CallerRequest Request, const AnswerHook &Answer) {
          LateAnswer = Answer;
          onRequest(std::move(Request), Answer);
        },
        {}, {});
    CHECK(ShortLived.start());
    Caller Client(ShortLived.port());
    Client.send(get("/a"));
    CHECK(eventually([&] { return receivedCount() == 1; }));
    ShortLived.stop();
  }

  LateAnswer(okAnswer("late"));
}
