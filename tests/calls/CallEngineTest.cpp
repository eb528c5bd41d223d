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

/// Longest wait for an event; reached only when something is broken.
constexpr std::chrono::seconds Patience(30);

bool waitFor(const std::function<bool()> &Condition) {
  return comesTrue(Condition, Patience, std::chrono::milliseconds(1));
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

/// Echoes each request from a thread of its own, as the HTTP client would.
class EchoTarget {
public:
  ~EchoTarget() {
    Ended = true;
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

  std::atomic<bool> Stuck{false};

private:
  void loop() {
    while (!Ended) {
      std::deque<std::pair<std::string, RunHook>> Taken;
      if (!Stuck) {
        const std::lock_guard<std::mutex> Lock(Mutex);
        Taken.swap(Waiting);
      }
      for (auto &[Body, OnResult] : Taken) {
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
  std::atomic<bool> Ended{false};
  std::thread Worker{[this] { loop(); }};
};

} // namespace

TEST_GROUP(CallEngine) {
  std::map<std::string, std::unique_ptr<CallEngine>> Engines;
  EchoTarget Targets[2]; // Joined first: their threads call the engines.
  std::atomic<int> Answered{0};
  std::atomic<int> Wrong{0};

  void setup() override {
    std::vector<Instance> All;
    for (int I = 0; I < 2; ++I) {
      Instance Place;
      Place.Name = "queue-" + std::to_string(I);
      Place.Domain = "east";
      Place.Service = "queue";
      Place.PeerAddress = Place.Name;
      All.push_back(Place);
      Engines[Place.Name] = std::make_unique<CallEngine>(
          CallIdentity{Place.Name, "east", "queue",
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

  /// Sends over a direct call; the other engine answers on its own thread.
  CallHooks hooks(int At) {
    CallHooks Hooks;
    Hooks.Target = Targets[At].port();
    Hooks.Random = [Random = std::mt19937_64(static_cast<std::uint64_t>(
                        At))]() mutable { return Random(); };
    Hooks.Send = [this](const PeerRequest &Request,
                        const PeerReplyHook &OnReply) {
      const PeerIdentity To{Request.Address,
                            Request.Address == "queue-0" ? 1U : 2U};
      Engines.at(Request.Address)
          ->handlePeer(Request.Kind, {}, Request.Body,
                       [OnReply, To](std::string Body) {
                         PeerReply Reply;
                         Reply.Body = std::move(Body);
                         Reply.From = To;
                         OnReply(std::move(Reply));
                       });
    };
    return Hooks;
  }

  CallHandle submit(const std::string &Tag) {
    return Engines.at("queue-0")->submit(
        request(Tag), [this, Tag](const CallAnswer &Answer) {
          if (Answer.Status != 200 || Answer.Body != Tag)
            ++Wrong;
          ++Answered;
        });
  }
};

TEST(CallEngine, AnswersCallsOfManyThreadsEachWithItsOwnAnswer) {
  std::vector<std::thread> Callers(4);

  for (std::size_t At = 0; At < Callers.size(); ++At) {
    Callers[At] = std::thread([this, At] {
      for (int I = 0; I < 250; ++I) {
        submit(std::to_string(At) + "/" + std::to_string(I));
        std::this_thread::sleep_for(std::chrono::microseconds(300));
      }
    });
  }
  for (std::thread &Each : Callers)
    Each.join();

  CHECK_TRUE(waitFor([this] { return Answered == 1000; }));
  LONGS_EQUAL(0, Wrong);
  CHECK_TRUE(waitFor([this] {
    return Engines.at("queue-0")->idle() && Engines.at("queue-1")->idle();
  }));
  CHECK_TRUE(
      waitFor([this] { return Engines.at("queue-0")->status().Runs > 0; }));
}

TEST(CallEngine, CancelledCallIsAnsweredOnceAndLeavesNothingBehind) {
  Targets[0].Stuck = true;
  Targets[1].Stuck = true;
  const CallHandle Handle = submit("gone");

  Engines.at("queue-0")->cancel(Handle);

  CHECK_TRUE(waitFor([this] { return Answered == 1; }));
  Targets[0].Stuck = false;
  Targets[1].Stuck = false;
  CHECK_TRUE(waitFor([this] {
    return Engines.at("queue-0")->idle() && Engines.at("queue-1")->idle();
  }));
  LONGS_EQUAL(1, Answered);
}

TEST(CallEngine, StopAnswersWhatIsLeft) {
  Targets[0].Stuck = true;
  Targets[1].Stuck = true;
  for (int I = 0; I < 20; ++I)
    submit(std::to_string(I));

  Engines.at("queue-0")->stop();

  LONGS_EQUAL(20, Answered);
  submit("too late");
  LONGS_EQUAL(21, Answered);
}
