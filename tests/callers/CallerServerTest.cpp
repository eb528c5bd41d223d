#include "callers/CallerServer.h"

#include "callers/HeaderFields.h"
#include "standins/Http.h"
#include "support/Await.h"

#include <deque>
#include <future>
#include <mutex>
#include <thread>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Tcp;

namespace {

constexpr std::chrono::seconds Patience{20};

/// A caller's connection with blocking reads.
class Caller {
public:
  explicit Caller(std::uint16_t Port) : Socket(Context) {
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
    if (HeadOnly)
      return Answer;
    Answer.Body.resize(std::stoul("0" + Answer.field("content-length")));
    asio::read(Socket, asio::buffer(Answer.Body), Error);
    return Answer;
  }

  /// Blocks until the next byte; true if the server closed the connection.
  bool ended() {
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

CallAnswer answerWith(std::string Body) {
  CallAnswer Answer;
  Answer.Status = 200;
  Answer.Body = std::move(Body);
  return Answer;
}

bool eventually(const std::function<bool()> &Condition) {
  return comesTrue(Condition, Patience, std::chrono::milliseconds(2));
}

} // namespace

TEST_GROUP(CallerServer) {
  std::mutex Mutex;
  std::vector<std::pair<CallerRequest, AnswerHook>> Held;
  std::vector<std::uint64_t> Gone;
  std::vector<Event> Events;
  bool Hold = false;
  CallerServer Server{options(),
                      [this](CallerRequest Request, const AnswerHook &Answer) {
                        take(std::move(Request), Answer);
                      },
                      [this](std::uint64_t Number) {
                        std::lock_guard<std::mutex> Lock(Mutex);
                        Gone.push_back(Number);
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

  void take(CallerRequest Request, const AnswerHook &Answer) {
    std::lock_guard<std::mutex> Lock(Mutex);
    const std::string Body = Request.Target + Request.Body;
    Held.emplace_back(std::move(Request), Answer);
    if (!Hold)
      Answer(answerWith(Body));
  }

  std::size_t held() {
    std::lock_guard<std::mutex> Lock(Mutex);
    return Held.size();
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
    CHECK(Client.ended());
    LONGS_EQUAL(0, held());
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

  const CallerRequest &Request = Held.at(0).first;
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
  Hold = true;
  Caller Client(Server.port());

  Client.send(get("/good") + "GET /bad HTTP/1.1\r\nHost : mesh\r\n\r\n");
  CHECK(eventually([&] { return held() == 1; }));
  Held[0].second(answerWith("good"));

  STRCMP_EQUAL("good", Client.receive().Body.c_str());
  LONGS_EQUAL(400, Client.receive().status());
  CHECK(Client.ended());
  LONGS_EQUAL(1, held());
}

// Limits declared by operators apply in addition to the node's own, from the
// next request on.
TEST(CallerServer, EnforcesDeclaredLimits) {
  CallerLimits Declared;
  Declared.MaxHeaderBytes = 200;
  Declared.MaxBodyBytes = 100;
  Declared.HeaderTimeout = DurationMs(60'000);
  Declared.IdleTimeout = DurationMs(60'000);
  Server.setLimits(Declared);

  checkRefused(post("/p", 101), 413, ResultCode::RequestBodyTooLarge);
  checkRefused("GET / HTTP/1.1\r\nHost: mesh\r\nX: " + std::string(200, 'x') +
                   "\r\n\r\n",
               431, ResultCode::RequestHeadTooLarge);
  Caller Client(Server.port());
  Client.send(post("/p", 100));
  LONGS_EQUAL(200, Client.receive().status());
}

TEST(CallerServer, RefusesAHeadThatExceedsTheHeaderTimeout) {
  CallerLimits Declared;
  Declared.MaxHeaderBytes = 2000;
  Declared.HeaderTimeout = DurationMs(100);
  Server.setLimits(Declared);

  checkRefused("GET / HTTP/1.1\r\nHost:", 408, ResultCode::RequestHeadTimeout);
}

// A connection with an unanswered or recently answered request is not idle.
TEST(CallerServer, ClosesOnlyIdleConnections) {
  CallerLimits Declared;
  Declared.MaxHeaderBytes = 2000;
  Declared.HeaderTimeout = DurationMs(60'000);
  Declared.IdleTimeout = DurationMs(2000);
  Server.setLimits(Declared);
  Hold = true;
  Caller Unused(Server.port());
  Caller Used(Server.port());
  Used.send(get("/slow"));

  CHECK(Unused.ended());

  CHECK(eventually([&] { return held() == 1; }));
  Held[0].second(answerWith("slow"));
  STRCMP_EQUAL("slow", Used.receive().Body.c_str());
  Hold = false;
  Used.send(get("/next"));
  LONGS_EQUAL(200, Used.receive().status());
}

// A trailer field could otherwise add metadata that was not in the head.
TEST(CallerServer, DropsTrailerFields) {
  Caller Client(Server.port());

  Client.send("POST /p HTTP/1.1\r\nHost: mesh\r\n"
              "Transfer-Encoding: chunked\r\n\r\n"
              "2\r\nab\r\n0\r\nX-Late: 1\r\n\r\n");

  STRCMP_EQUAL("/pab", Client.receive().Body.c_str());
  CHECK((std::vector<Header>{{"Host", "mesh"}}) == Held.at(0).first.Headers);
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
  Hold = true;
  Caller Client(Server.port());
  Client.send("HEAD /h HTTP/1.1\r\nHost: mesh\r\n\r\n");
  CHECK(eventually([&] { return held() == 1; }));

  CallAnswer Named = answerWith("");
  Named.Headers = {{"Content-Length", "300"}};
  Held[0].second(Named);

  const auto Answer = Client.receive(true);
  LONGS_EQUAL(200, Answer.status());
  STRCMP_EQUAL("300", Answer.field("content-length").c_str());
  Client.send(get("/next"));
  CHECK(eventually([&] { return held() == 2; }));
  Held[1].second(answerWith("next"));
  STRCMP_EQUAL("next", Client.receive().Body.c_str());
}

TEST(CallerServer, ReportsADisconnectedCaller) {
  Hold = true;
  Caller Client(Server.port());
  Client.send(get("/a"));
  CHECK(eventually([&] { return held() == 1; }));

  Client.close();

  CHECK(eventually([&] { return Server.unanswered() == 0; }));
  std::lock_guard<std::mutex> Lock(Mutex);
  CHECK((std::vector<std::uint64_t>{Held[0].first.Number}) == Gone);
}

// The event lets operators find out why a caller received no answer.
TEST(CallerServer, ReportsAnAnswerThatWasNotWritten) {
  Hold = true;
  Caller Client(Server.port());
  Client.send("GET /a HTTP/1.1\r\nHost: mesh\r\nX-Request-Id: r1\r\n\r\n");
  CHECK(eventually([&] { return held() == 1; }));

  // Larger than all socket buffers, so that part of it remains unwritten.
  Held[0].second(answerWith(std::string(64 << 20, 'a')));
  Client.receive(true);
  Client.close();

  CHECK(eventually([&] { return Server.unanswered() == 0; }));
  std::lock_guard<std::mutex> Lock(Mutex);
  LONGS_EQUAL(1, Events.size());
  CHECK(EventId::AnswerNotWritten == Events[0].Id);
  STRCMP_EQUAL("r1", Events[0].Fields[0].Value.c_str());
}

// The budget fits one of the large bodies. The others stay in their callers'
// send buffers, and no request is refused.
TEST(CallerServer, DefersLargeBodiesUntilMemoryIsReleased) {
  constexpr std::size_t LargeBytes = 100'000;
  CallerServerOptions Narrow = options();
  Narrow.MaxBodyBytes = LargeBytes;
  Narrow.MaxHeldBytes = LargeBytes * 3 / 2;
  Hold = true;
  CallerServer Bounded(Narrow,
                       [this](CallerRequest Request, const AnswerHook &Answer) {
                         take(std::move(Request), Answer);
                       },
                       {}, {});
  CHECK(Bounded.start());
  std::deque<Caller> Large;
  for (int I = 0; I < 4; ++I)
    Large.emplace_back(Bounded.port()).send(post("/large", LargeBytes));
  Caller Small(Bounded.port());
  Small.send(get("/small"));
  CHECK(eventually([&] { return held() == 2; }));

  for (std::size_t Answered = 0; Answered < 5; ++Answered) {
    CHECK(eventually([&] { return held() > Answered; }));
    std::lock_guard<std::mutex> Lock(Mutex);
    std::size_t Bytes = 0;
    for (std::size_t I = Answered; I < Held.size(); ++I)
      Bytes += Held[I].first.Body.size();
    CHECK_TRUE_TEXT(Bytes <= Narrow.MaxHeldBytes,
                    std::to_string(Bytes).c_str());
    Held[Answered].second(answerWith("done"));
  }

  for (Caller &Each : Large)
    STRCMP_EQUAL("done", Each.receive().Body.c_str());
  STRCMP_EQUAL("done", Small.receive().Body.c_str());
  Bounded.stop();
}

TEST(CallerServer, ClosesConnectionsThatWaitForBodyMemory) {
  CallerServerOptions Narrow = options();
  Narrow.MaxBodyBytes = 100'000;
  Narrow.MaxHeldBytes = 1;
  Hold = true;
  CallerServer Bounded(Narrow,
                       [this](CallerRequest Request, const AnswerHook &Answer) {
                         take(std::move(Request), Answer);
                       },
                       {}, {});
  CHECK(Bounded.start());
  Caller First(Bounded.port());
  Caller Waiting(Bounded.port());
  First.send(post("/large", Narrow.MaxBodyBytes));
  CHECK(eventually([&] { return held() == 1; }));
  Waiting.send(post("/large", Narrow.MaxBodyBytes));

  Bounded.stop();

  CHECK(Waiting.ended());
  LONGS_EQUAL(1, held());
}

TEST(CallerServer, CutsNoRequestInADrain) {
  Hold = true;
  Caller Busy(Server.port());
  Caller Idle(Server.port());
  Caller Half(Server.port());
  Idle.send(get("/idle"));
  CHECK(eventually([&] { return held() == 1; }));
  Held[0].second(answerWith("idle"));
  Idle.receive();
  Busy.send(get("/busy"));
  Half.send("POST /half HTTP/1.1\r\nHost: mesh\r\nContent-Length: 4\r\n\r\nbo");
  CHECK(eventually([&] { return held() == 2; }));

  Server.stopAccepting();

  CHECK(Idle.ended());
  CHECK(Server.unanswered() >= 2);
  CHECK_THROWS(std::system_error, Caller(Server.port()));
  Half.send("dy");
  CHECK(eventually([&] { return held() == 3; }));
  Held[1].second(answerWith("whole"));
  Held[2].second(answerWith("too"));
  const auto Answer = Busy.receive();
  STRCMP_EQUAL("whole", Answer.Body.c_str());
  STRCMP_EQUAL("close", Answer.field("connection").c_str());
  CHECK(Busy.ended());
  STRCMP_EQUAL("too", Half.receive().Body.c_str());
  CHECK(Half.ended());
  CHECK(eventually([&] { return Server.unanswered() == 0; }));
}

TEST(CallerServer, ReportsWhyItCannotListen) {
  CallerServerOptions Taken = options();
  Taken.Port = Server.port();
  CallerServer Second(Taken, {}, {}, {});
  CallerServerOptions Wrong = options();
  Wrong.Address = "not an address";
  CallerServer Third(Wrong, {}, {}, {});

  CHECK_FALSE(Second.start());
  CHECK(ResultCode::AddressBusy == Second.lastReason());
  CHECK_FALSE(Third.start());
  CHECK(ResultCode::AddressInvalid == Third.lastReason());
}

TEST(CallerServer, DropsAnswersAfterItHasStopped) {
  Hold = true;
  AnswerHook Late;
  {
    CallerServer Short(options(),
                       [&](CallerRequest Request, const AnswerHook &Answer) {
                         Late = Answer;
                         take(std::move(Request), Answer);
                       },
                       {}, {});
    CHECK(Short.start());
    Caller Client(Short.port());
    Client.send(get("/a"));
    CHECK(eventually([&] { return held() == 1; }));
    Short.stop();
  }

  Late(answerWith("late"));
}
