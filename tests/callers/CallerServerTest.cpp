#include "callers/CallerServer.h"

#include "callers/HeaderFields.h"
#include "standins/Http.h"
#include "support/Await.h"

#include <deque>
#include <future>
#include <mutex>
#include <sstream>
#include <thread>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Tcp;

namespace {

constexpr std::chrono::seconds WaitTimeout{20};

/// A caller's connection with blocking reads.
class Caller {
public:
  /// \param ReceiveBuffer bytes that the system receives ahead of the reads; 0
  ///                      for its own choice.
  explicit Caller(std::uint16_t Port, int ReceiveBuffer = 0) : Socket(Context) {
    Socket.open(Tcp::v4());
    if (ReceiveBuffer > 0)
      Socket.set_option(asio::socket_base::receive_buffer_size(ReceiveBuffer));
    Socket.connect({asio::ip::make_address("127.30.0.2"), Port});
  }

  void send(const std::string &Text) {
    std::error_code Ignored;
    asio::write(Socket, asio::buffer(Text), Ignored);
  }

  standins::Message receive(bool HeadOnly = false) {
    std::string Head;
    std::error_code Error;
    while (Head.find("\r\n\r\n") == std::string::npos) {
      char Byte = 0;
      if (asio::read(Socket, asio::buffer(&Byte, 1), Error) == 0)
        return {};
      Head += Byte;
    }
    standins::Message Answer = standins::parseHead(Head);
    if (!HeadOnly)
      Answer.Body =
          receiveBody(std::stoul("0" + Answer.field("content-length")));
    return Answer;
  }

  /// Reads \p Size bytes, or fewer if the connection ends before.
  std::string receiveBody(std::size_t Size) {
    std::string Body(Size, '\0');
    std::error_code Error;
    Body.resize(asio::read(Socket, asio::buffer(Body), Error));
    return Body;
  }

  /// Blocks until the next byte; true if the server closed the connection.
  bool waitForClose() {
    char Byte = 0;
    std::error_code Error;
    return asio::read(Socket, asio::buffer(&Byte, 1), Error) == 0;
  }

  void close() { Socket.close(); }

private:
  asio::io_context Context;
  Tcp::socket Socket;
};

std::string post(const std::string &Target, std::size_t Bytes) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: mesh\r\nContent-Length: " + std::to_string(Bytes) +
         "\r\n\r\n" + std::string(Bytes, 'b');
}

std::string get(const std::string &Target) {
  return "GET " + Target + " HTTP/1.1\r\nHost: mesh\r\n\r\n";
}

std::string chunkedHead(const std::string &Target) {
  return "POST " + Target +
         " HTTP/1.1\r\nHost: mesh\r\nTransfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::size_t Bytes) {
  std::ostringstream Text;
  Text << std::hex << Bytes << "\r\n" << std::string(Bytes, 'b') << "\r\n";
  return Text.str();
}

const std::string LastChunk = "0\r\n\r\n";

CallAnswer okAnswer(std::string Body) {
  CallAnswer Answer;
  Answer.Status = 200;
  Answer.Body = std::move(Body);
  return Answer;
}

bool eventually(const std::function<bool()> &Condition) {
  return waitUntil(Condition, WaitTimeout, std::chrono::milliseconds(2));
}

} // namespace

TEST_GROUP(CallerServer) {
  std::mutex Mutex;
  std::vector<std::pair<CallerRequest, AnswerHook>> Received;
  std::vector<std::uint64_t> Disconnected;
  std::vector<Event> Events;
  bool DeferAnswers = false;
  CallerServer Server{options(),
                      [this](CallerRequest Request, const AnswerHook &Answer) {
                        onRequest(std::move(Request), Answer);
                      },
                      [this](std::uint64_t Number) {
                        std::lock_guard<std::mutex> Lock(Mutex);
                        Disconnected.push_back(Number);
                      },
                      [this](const Event &Value) {
                        std::lock_guard<std::mutex> Lock(Mutex);
                        Events.push_back(Value);
                      }};

  static CallerServerOptions options() {
    CallerServerOptions Options;
    Options.Address = "127.30.0.2";
    Options.MaxHeaderBytes = 2000;
    Options.MaxBodyBytes = 5000;
    Options.DrainGrace = DurationMs(20);
    return Options;
  }

  static CallerServerOptions smallBudget(std::size_t MaxBodyBytes,
                                         std::size_t MaxHeldBytes) {
    CallerServerOptions Options = options();
    Options.MaxBodyBytes = MaxBodyBytes;
    Options.MaxHeldBytes = MaxHeldBytes;
    return Options;
  }

  RequestHook requestHook() {
    return [this](CallerRequest Request, const AnswerHook &Answer) {
      onRequest(std::move(Request), Answer);
    };
  }

  void onRequest(CallerRequest Request, const AnswerHook &Answer) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const std::string Body = Request.Target + Request.Body;
    Received.emplace_back(std::move(Request), Answer);
    if (!DeferAnswers)
      Answer(okAnswer(Body));
  }

  std::size_t receivedCount() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Received.size();
  }

  void setup() override { CHECK(Server.start()); }
  void teardown() override { Server.stop(); }

  void checkRefused(const std::string &Text, int Status, ResultCode Reason) {
    Caller Client(Server.port());
    Client.send(Text);

    const auto Answer = Client.receive();

    LONGS_EQUAL(Status, Answer.status());
    const auto Json = nlohmann::json::parse(Answer.Body);
    LONGS_EQUAL(static_cast<int>(Reason), Json["code"].get<int>());
    STRCMP_EQUAL("not-run", Json["outcome"].get<std::string>().c_str());
    CHECK(Client.waitForClose());
    LONGS_EQUAL(0, receivedCount());
  }
};

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

// The budget fits one of the large bodies. The others stay in their callers'
// send buffers, and no request is refused.
TEST(CallerServer, DefersLargeBodiesUntilMemoryIsReleased) {
  constexpr std::size_t LargeBytes = 100'000;
  constexpr std::size_t BudgetBytes = LargeBytes * 3 / 2;
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(LargeBytes, BudgetBytes), requestHook(), {},
                       {});
  CHECK(Bounded.start());
  std::deque<Caller> Large;
  for (int I = 0; I < 4; ++I)
    Large.emplace_back(Bounded.port()).send(post("/large", LargeBytes));
  Caller Small(Bounded.port());
  Small.send(get("/small"));
  CHECK(eventually([&] { return receivedCount() == 2; }));

  for (std::size_t Answered = 0; Answered < 5; ++Answered) {
    CHECK(eventually([&] { return receivedCount() > Answered; }));
    std::lock_guard<std::mutex> Lock(Mutex);
    std::size_t Bytes = 0;
    for (std::size_t I = Answered; I < Received.size(); ++I)
      Bytes += Received[I].first.Body.size();
    CHECK_TRUE_TEXT(Bytes <= BudgetBytes, std::to_string(Bytes).c_str());
    Received[Answered].second(okAnswer("done"));
  }

  for (Caller &Client : Large)
    STRCMP_EQUAL("done", Client.receive().Body.c_str());
  STRCMP_EQUAL("done", Small.receive().Body.c_str());
  Bounded.stop();
}

// Guards against requests in chunks that wait until no request with a body is
// unanswered, whatever their own size.
TEST(CallerServer, ReadsRequestsInChunksBesideUnansweredBodies) {
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(100'000, 50'000), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller Other(Bounded.port());
  Other.send(post("/other", 300));
  CHECK(eventually([&] { return receivedCount() == 1; }));

  std::deque<Caller> Clients;
  for (int I = 0; I < 3; ++I)
    Clients.emplace_back(Bounded.port()).send(chunkedHead("/chunks"));
  // The chunks arrive in another read than their heads.
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  for (Caller &Client : Clients)
    Client.send(chunk(300) + LastChunk);

  CHECK(eventually([&] { return receivedCount() == 4; }));
}

// Guards against a body that is larger than the budget and waits until no
// request with a body is unanswered.
TEST(CallerServer, ReadsABodyAboveTheBudgetBesideUnansweredSmallOnes) {
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(300'000, 100'000), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller Other(Bounded.port());
  Other.send(post("/other", 300));
  CHECK(eventually([&] { return receivedCount() == 1; }));

  Caller WithLength(Bounded.port());
  WithLength.send(post("/length", 300'000));
  CHECK(eventually([&] { return receivedCount() == 2; }));
  Received[1].second(okAnswer("length"));
  STRCMP_EQUAL("length", WithLength.receive().Body.c_str());
  Caller InChunks(Bounded.port());
  InChunks.send(chunkedHead("/chunks") + chunk(200'000) + chunk(50'000) +
                LastChunk);

  CHECK(eventually([&] { return receivedCount() == 3; }));
  LONGS_EQUAL(250'000, Received[2].first.Body.size());
}

// Guards against a large upload that keeps all shorter ones waiting.
TEST(CallerServer, ReadsShortBodiesBesideALargeOneThatWaits) {
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(2'000'000, 400'000), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller Oldest(Bounded.port());
  Oldest.send(post("/oldest", 150'000));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Caller Large(Bounded.port());
  Large.send(chunkedHead("/large") + chunk(600'000));

  Caller Short(Bounded.port());
  Short.send(chunkedHead("/short") + chunk(20'000) + LastChunk);

  CHECK(eventually([&] { return receivedCount() == 2; }));
  Large.send(LastChunk);
  Received[0].second(okAnswer("oldest"));
  CHECK(eventually([&] { return receivedCount() == 3; }));
  LONGS_EQUAL(600'000, Received[2].first.Body.size());
}

TEST(CallerServer, ClosesConnectionsThatWaitForBodyMemory) {
  constexpr std::size_t LargeBytes = 100'000;
  DeferAnswers = true;
  CallerServer Bounded(smallBudget(LargeBytes, 1), requestHook(), {}, {});
  CHECK(Bounded.start());
  Caller First(Bounded.port());
  Caller Waiting(Bounded.port());
  First.send(post("/large", LargeBytes));
  CHECK(eventually([&] { return receivedCount() == 1; }));
  Waiting.send(post("/large", LargeBytes));

  Bounded.stop();

  CHECK(Waiting.waitForClose());
  LONGS_EQUAL(1, receivedCount());
}

TEST(CallerServer, CutsNoRequestInADrain) {
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
TEST(CallerServer, AnswersEveryRequestReadInADrain) {
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
TEST(CallerServer, AnswersARequestThatIsHalfReadBehindAnAnswerInADrain) {
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
TEST(CallerServer, ReadsNothingBehindAClosingAnswer) {
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
TEST(CallerServer, ReadsNothingBehindARequestThatCloses) {
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
TEST(CallerServer, ReportsADisconnectedCallerWhoseRequestCloses) {
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
TEST(CallerServer, RefusesAnInvalidRequestBehindAnAnswerInADrain) {
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
