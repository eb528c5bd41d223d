#include "callers/CallerServer.h"

#include "standins/Http.h"
#include "support/Await.h"

#include <algorithm>
#include <atomic>
#include <future>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using standins::Tcp;

namespace {

constexpr char Address[] = "127.30.0.3";
constexpr std::chrono::milliseconds TimePerRequest{1};

/// A caller's connection with blocking calls.
class BlockingCaller {
public:
  explicit BlockingCaller(std::uint16_t Port) : Socket(Context) {
    Socket.connect({asio::ip::make_address(Address), Port});
  }

  void send(const std::string &Target) {
    std::error_code Ignored;
    asio::write(
        Socket,
        asio::buffer("GET " + Target + " HTTP/1.1\r\nHost: mesh\r\n\r\n"),
        Ignored);
  }

  /// Reads the answer, which has no body.
  void receive() {
    std::error_code Ignored;
    std::string Head;
    asio::read_until(Socket, asio::dynamic_buffer(Head), "\r\n\r\n", Ignored);
  }

  void close() { Socket.close(); }

private:
  asio::io_context Context;
  Tcp::socket Socket;
};

} // namespace

// A server whose thread is busy; it answers "/block" once it is released.
TEST_GROUP(BusyCallerServer) {
  std::mutex Mutex;
  std::vector<std::string> Targets; ///< Of the requests, in order.
  std::promise<void> Release;
  CallerServer Server{
      options(),
      [this](const CallerRequest &Request, const AnswerHook &Answer) {
        onRequest(Request, Answer);
      },
      [](std::uint64_t) {}, [](const Event &) {}};

  static CallerServerOptions options() {
    CallerServerOptions Options;
    Options.Address = Address;
    return Options;
  }

  void onRequest(const CallerRequest &Request, const AnswerHook &Answer) {
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Targets.push_back(Request.Target);
    }
    if (Request.Target == "/block")
      Release.get_future().wait();
    std::this_thread::sleep_for(TimePerRequest);
    CallAnswer Empty;
    Empty.Status = 200;
    Answer(Empty);
  }

  std::vector<std::string> targets() {
    const std::lock_guard<std::mutex> Lock(Mutex);
    return Targets;
  }

  /// Occupies the server's thread until it is released.
  void block(BlockingCaller & Blocker) {
    Blocker.send("/block");
    CHECK(waitUntil(
        [this] {
          const auto Known = targets();
          return std::find(Known.begin(), Known.end(), "/block") != Known.end();
        },
        std::chrono::seconds(20), std::chrono::milliseconds(1)));
  }

  void setup() override { CHECK(Server.start()); }
  void teardown() override { Server.stop(); }
};

TEST(BusyCallerServer, RunsNoRequestWhoseCallerLeftWhileItWaited) {
  BlockingCaller Blocker(Server.port());
  block(Blocker);
  BlockingCaller Gone(Server.port());
  Gone.send("/gone");
  Gone.close();

  Release.set_value();
  BlockingCaller Next(Server.port());
  for (int I = 0; I < 3; ++I) {
    Next.send("/next");
    Next.receive();
  }

  const auto Known = targets();
  CHECK(std::find(Known.begin(), Known.end(), "/gone") == Known.end());
}

// Callers come back on new connections; while open ones keep the thread busy,
// their requests must not wait until it has nothing else to do.
TEST(BusyCallerServer, NewConnectionsDoNotWaitBehindOpenOnes) {
  constexpr std::size_t OpenCount = 8;
  constexpr std::size_t NewCount = 30;
  constexpr std::size_t MaxOpenBetween = 100;
  std::vector<std::unique_ptr<BlockingCaller>> Open;
  for (std::size_t I = 0; I < OpenCount; ++I)
    Open.push_back(std::make_unique<BlockingCaller>(Server.port()));
  for (auto &Each : Open) {
    Each->send("/open");
    Each->receive();
  }
  BlockingCaller Blocker(Server.port());
  block(Blocker);
  std::atomic<bool> Stop = false;
  std::vector<std::thread> Threads;
  Threads.reserve(OpenCount);
  for (auto &Each : Open) {
    Threads.emplace_back([&Each, &Stop] {
      while (!Stop) {
        Each->send("/open");
        Each->receive();
      }
    });
  }
  std::vector<std::unique_ptr<BlockingCaller>> New;
  for (std::size_t I = 0; I < NewCount; ++I) {
    New.push_back(std::make_unique<BlockingCaller>(Server.port()));
    New.back()->send("/new");
  }

  Release.set_value();
  for (auto &Each : New)
    Each->receive();
  Stop = true;
  for (std::thread &Each : Threads)
    Each.join();

  const auto Known = targets();
  const auto First = std::find(Known.begin(), Known.end(), "/block");
  const auto Last = std::find(Known.rbegin(), Known.rend(), "/new").base();
  CHECK(std::count(First, Last, "/open") <
        static_cast<std::ptrdiff_t>(MaxOpenBetween));
}
