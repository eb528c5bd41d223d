#include "calls/CoreFixture.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace fescuewood;

namespace {

SnapshotPtr makeOneRoute() {
  auto Config = CoreFixture::makeConfig(1, {{"east", "coast"}});
  Route Read;
  Read.Name = "read";
  Read.Service = "queue";
  Read.Access = RouteAccess::Open;
  Read.Objective = DurationMs(500);
  Config->Routes.push_back(Read);
  return Config;
}

CallRequest requestWithId(const std::string &Id) {
  CallRequest Request = CoreFixture::makeRequest(DurationMs(2500));
  Request.Route = "read";
  Request.Headers.push_back({HeaderScheme().RequestId, Id});
  Request.Priority = callPriority(0, 1);
  return Request;
}

std::string fieldOf(const Event &Reported, const std::string &Name) {
  for (const EventField &Each : Reported.Fields)
    if (Each.Key == Name)
      return Each.Value;
  return {};
}

} // namespace

/// A node in order of objectives, whose target runs one request at a time until
/// the test ends it.
TEST_GROUP_BASE(ObjectiveOrder, CoreFixture) {
  std::vector<std::string> Started;
  std::vector<RunHook> Runs;
  std::vector<CallStart> Sent;
  std::vector<PeerReplyHook> Replies;
  std::map<std::string, CallAnswer> Answers;
  CallHandle Last = 0;

  void start(const std::vector<std::string> &Instances) {
    Hooks.Send = [this](const PeerRequest &Request,
                        const PeerReplyHook &OnReply) {
      if (auto Start = decodeCallStart(Request.Body)) {
        Sent.push_back(std::move(*Start));
        Replies.push_back(OnReply);
      }
    };
    Hooks.Target.Run = [this](const CallRequest &Request, DurationMs,
                              const RunHook &OnResult) {
      Started.push_back(requestId(Request, HeaderScheme()));
      Runs.push_back(OnResult);
    };
    Settings.Order = QueueOrder::Objective;
    Settings.MaxQueueBytes = 1000;
    startCore(makeOneRoute(), Instances);
  }

  void submit(const CallRequest &Request) {
    const std::string Id = requestId(Request, HeaderScheme());
    Core->submit(++Last, Request, [this, Id](CallAnswer Answer) {
      Answers[Id] = std::move(Answer);
    });
  }

  void endRun() {
    const RunHook OnResult = std::move(Runs.back());
    Runs.pop_back();
    OnResult(makeResult(200));
  }
};

// Guards against a caller that waits for an answer after its request has lost
// its place, and against an operator who cannot tell to which one.
TEST(ObjectiveOrder, TellsCallerAndOperatorOfADisplacedRequest) {
  start({"east/0"});
  submit(requestWithId("running"));
  CallRequest Low = requestWithId("low");
  Low.Priority = callPriority(0, 2);
  Low.Body = std::string(400, 'b');
  submit(Low);
  CallRequest High = requestWithId("high");
  High.Body = std::string(600, 'b');

  submit(High);

  const CallAnswer &Answer = Answers.at("low");
  LONGS_EQUAL(503, Answer.Status);
  CHECK(ResultCode::Displaced == Answer.Reason);
  CHECK(Outcome::NotRun == Answer.RequestOutcome);
  CHECK_TRUE(std::any_of(
      Answer.Headers.begin(), Answer.Headers.end(),
      [](const Header &Each) { return Each.Name == "Retry-After"; }));
  const auto Reported =
      std::find_if(Events.begin(), Events.end(), [](const Event &Each) {
        return Each.Id == EventId::CallDisplaced;
      });
  CHECK(Reported != Events.end());
  STRCMP_EQUAL("low", fieldOf(*Reported, "request").c_str());
  STRCMP_EQUAL("high", fieldOf(*Reported, "by_request").c_str());
  LONGS_EQUAL(1, Core->status().Displaced);
  endRun();
  STRCMP_EQUAL("high", Started.back().c_str());
}

// Guards against an objective that begins anew at each node of a call.
TEST(ObjectiveOrder, CountsTheObjectiveFromTheArrivalAtTheEntryNode) {
  start({"east/0"});
  submit(requestWithId("running"));
  submit(requestWithId("new"));
  CallRequest Old = requestWithId("old");
  Old.Age = DurationMs(200);

  submit(Old);
  endRun();

  STRCMP_EQUAL("old", Started.back().c_str());
}

TEST(ObjectiveOrder, SendsTheAgeOfACallAlsoAfterARefusal) {
  start({"east/1", "east/2"});
  CallRequest Request = requestWithId("moving");
  Request.Idempotent = true;
  Request.Age = DurationMs(20);
  submit(Request);
  Now = Now + DurationMs(30);
  CallReply Refused;
  Refused.State = CallState::Refused;
  Refused.Reason = ResultCode::TargetDraining;

  Replies.back()({encode(Refused), {}, ResultCode::Ok});

  LONGS_EQUAL(2, Sent.size());
  LONGS_EQUAL(20, Sent.front().Request.Age.Value);
  LONGS_EQUAL(50, Sent.back().Request.Age.Value);
}
