#include "calls/CallEngine.h"

#include "support/Await.h"

#include <atomic>
#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <random>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Maximum wait for an event; exceeded only on failure.
constexpr std::chrono::seconds WaitTimeout(30);

bool waitFor(const std::function<bool()> &Condition) {
  return waitUntil(Condition, WaitTimeout, std::chrono::milliseconds(1));
}

SnapshotPtr config() {
  auto Config = std::make_shared<Snapshot>();
  Config->Services["queue"] = {"queue", 6};
  Config->Domains["east"] = {"east", "coast", DomainStatus::In, 4};
  Config->Organisations["large"] = {"large", "", 1};
  return Config;
}

CallRequest request(const std::string &Tag) {
  CallRequest Request;
  Request.Method = "POST";
  Request.Target = "/queue";
  Request.Body = Tag;
  Request.Route = "read";
  Request.Service = "queue";
  Request.Organisation = "large";
  Request.Remaining = DurationMs(20000);
  return Request;
}

/// Echoes each request on a separate thread, as the HTTP client does.
class EchoTarget {
public:
  ~EchoTarget() {
    Stopping = true;
    Worker.join();
  }

  TargetPort port() {
    TargetPort Port;
    Port.Run = [this](const CallRequest &Request, DurationMs,
                      const RunHook &OnResult) {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Waiting.emplace_back(Request.Body, OnResult);
    };
    return Port;
  }

  std::atomic<bool> Blocked{false};

private:
  void loop() {
    while (!Stopping) {
      std::deque<std::pair<std::string, RunHook>> Batch;
      if (!Blocked) {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Batch.swap(Waiting);
      }
      for (auto &[Body, OnResult] : Batch) {
        RunResult Result;
        Result.Answer.emplace();
        Result.Answer->Status = 200;
        Result.Answer->Body = Body;
        OnResult(std::move(Result));
      }
      std::this_thread::sleep_for(std::chrono::microseconds(200));
    }
  }

  std::mutex Mutex;
  std::deque<std::pair<std::string, RunHook>> Waiting;
  std::atomic<bool> Stopping{false};
  std::thread Worker{[this] { loop(); }};
};

} // namespace

TEST_GROUP(CallEngine) {
  std::map<std::string, std::unique_ptr<CallEngine>> Engines;
  EchoTarget Targets[2]; // Destroyed first: their threads call the engines.
  std::atomic<int> Answered{0};
  std::atomic<int> WrongAnswers{0};

  void setup() override {
    std::vector<Instance> All;
    for (int I = 0; I < 2; ++I) {
      Instance Node;
      Node.Name = "queue-" + std::to_string(I);
      Node.Domain = "east";
      Node.Service = "queue";
      Node.PeerAddress = Node.Name;
      All.push_back(Node);
      Engines[Node.Name] = std::make_unique<CallEngine>(
          CallIdentity{Node.Name, "east", "queue",
                       static_cast<std::uint64_t>(I) + 1},
          CallSettings(), hooks(I));
    }
    for (auto &[Name, Engine] : Engines) {
      Engine->start();
      Engine->setSnapshot(config());
      Engine->setInstances(All);
    }
  }

  void teardown() override {
    for (auto &[Name, Engine] : Engines)
      Engine->stop();
  }

  /// Hooks that pass messages to the other engine by a direct call; it replies
  /// on its own thread.
  CallHooks hooks(int Index) {
    CallHooks Hooks;
    Hooks.Target = Targets[Index].port();
    Hooks.Random = [Random = std::mt19937_64(static_cast<std::uint64_t>(
                        Index))]() mutable { return Random(); };
    Hooks.Send = [this](const PeerRequest &Request,
                        const PeerReplyHook &OnReply) {
      const PeerIdentity To{Request.Address,
                            Request.Address == "queue-0" ? 1U : 2U};
      Engines.at(Request.Address)
          ->handlePeer(Request.Kind, {}, Request.Body,
                       [OnReply, To](std::string Body) {
                         PeerReply Reply;
                         Reply.Body = std::move(Body);
                         Reply.Sender = To;
                         OnReply(std::move(Reply));
                       });
    };
    return Hooks;
  }

  CallHandle submit(const std::string &Tag) {
    return Engines.at("queue-0")->submit(
        request(Tag), [this, Tag](const CallAnswer &Answer) {
          if (Answer.Status != 200 || Answer.Body != Tag)
            ++WrongAnswers;
          ++Answered;
        });
  }
};

TEST(CallEngine, AnswersConcurrentCallsWithTheMatchingAnswers) {
  std::vector<std::thread> Callers(4);

  for (std::size_t Index = 0; Index < Callers.size(); ++Index) {
    Callers[Index] = std::thread([this, Index] {
      for (int I = 0; I < 250; ++I) {
        submit(std::to_string(Index) + "/" + std::to_string(I));
        std::this_thread::sleep_for(std::chrono::microseconds(300));
      }
    });
  }
  for (std::thread &Caller : Callers)
    Caller.join();

  CHECK_TRUE(waitFor([this] { return Answered == 1000; }));
  LONGS_EQUAL(0, WrongAnswers);
  CHECK_TRUE(waitFor([this] {
    return Engines.at("queue-0")->idle() && Engines.at("queue-1")->idle();
  }));
  CHECK_TRUE(
      waitFor([this] { return Engines.at("queue-0")->status().Runs > 0; }));
}

TEST(CallEngine, CancelledCallIsAnsweredOnceAndReleased) {
  Targets[0].Blocked = true;
  Targets[1].Blocked = true;
  const CallHandle Handle = submit("gone");

  Engines.at("queue-0")->cancel(Handle);

  CHECK_TRUE(waitFor([this] { return Answered == 1; }));
  Targets[0].Blocked = false;
  Targets[1].Blocked = false;
  CHECK_TRUE(waitFor([this] {
    return Engines.at("queue-0")->idle() && Engines.at("queue-1")->idle();
  }));
  LONGS_EQUAL(1, Answered);
}

TEST(CallEngine, StopAnswersAllPendingCalls) {
  Targets[0].Blocked = true;
  Targets[1].Blocked = true;
  for (int I = 0; I < 20; ++I)
    submit(std::to_string(I));

  Engines.at("queue-0")->stop();

  LONGS_EQUAL(20, Answered);
  submit("too late");
  LONGS_EQUAL(21, Answered);
}
