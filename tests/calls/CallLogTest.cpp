#include "calls/CallCore.h"

#include <CppUTest/TestHarness.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

using namespace fescuewood;

namespace {

constexpr DurationMs Remaining{1000};

Instance instanceOf(const std::string &Name) {
  Instance Result;
  Result.Name = Name;
  Result.Domain = "east";
  Result.Service = "queue";
  Result.PeerAddress = Name;
  Result.State = TargetState::Ready;
  return Result;
}

SnapshotPtr oneDomain() {
  auto Config = std::make_shared<Snapshot>();
  Config->Id.Revision = 1;
  Config->Services["queue"] = {"queue", 6};
  Config->Domains["east"] = {"east", "coast", DomainStatus::In, 2};
  return Config;
}

} // namespace

/// A node whose target answers at once, and another one that answers nothing.
TEST_GROUP(CallLog) {
  TimeMs Now{10'000};
  std::vector<Event> Events;
  std::unique_ptr<CallCore> Core;

  void start(int Status) {
    CallHooks Hooks;
    Hooks.Send = [](const PeerRequest &, const PeerReplyHook &) {};
    Hooks.Random = [] { return 0; };
    Hooks.OnEvent = [this](const Event &Reported) {
      Events.push_back(Reported);
    };
    Hooks.Target.Run = [Status](const CallRequest &, DurationMs,
                                const RunHook &OnResult) {
      RunResult Result;
      Result.Answer.emplace();
      Result.Answer->Status = Status;
      Result.Answer->RequestOutcome = Outcome::Ran;
      OnResult(Result);
    };
    CallSettings Settings;
    Settings.Routing = RoutingMode::Random;
    CallIdentity Self;
    Self.Name = "east/0";
    Self.Domain = "east";
    Self.Service = "queue";
    Self.Incarnation = 1;
    Core = std::make_unique<CallCore>(Self, Settings, std::move(Hooks),
                                      Clock([this] { return Now; }));
    Core->setSnapshot(oneDomain());
    Core->setInstances({instanceOf("east/0"), instanceOf("east/1")});
    CallRequest Request;
    Request.Method = "GET";
    Request.Target = "/queue";
    Request.Service = "queue";
    Request.Remaining = Remaining;
    Request.Idempotent = true;
    Core->submit(1, Request, [](const CallAnswer &) {});
    const TimeMs End = Now + Remaining * 2;
    while (Now < End) {
      Now = Now + DurationMs(1);
      Core->tick();
    }
  }

  /// A field of the only event of a kind.
  std::string fieldOf(EventId Id, const std::string &Name) const {
    std::vector<std::string> Found;
    for (const Event &Each : Events) {
      if (Each.Id != Id)
        continue;
      for (const EventField &Field : Each.Fields)
        if (Field.Key == Name)
          Found.push_back(Field.Value);
    }
    LONGS_EQUAL(1, Found.size());
    return Found.front();
  }
};

TEST(CallLog, AnsweredCallNamesTheRunThatItsAnswerIsFrom) {
  start(200);

  STRCMP_EQUAL("200", fieldOf(EventId::CallAnswered, "status").c_str());
  STRCMP_EQUAL(fieldOf(EventId::RunEnded, "call").c_str(),
               fieldOf(EventId::CallAnswered, "call").c_str());
}

TEST(CallLog, CallThatGetsAnEarlierFailureNamesTheRunOfTheFailure) {
  start(502);

  STRCMP_EQUAL("2", fieldOf(EventId::CallAnswered, "attempts").c_str());
  STRCMP_EQUAL(fieldOf(EventId::RunEnded, "call").c_str(),
               fieldOf(EventId::CallAnswered, "call").c_str());
}
