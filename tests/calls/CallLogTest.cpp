#include "calls/CoreFixture.h"

#include <string>
#include <vector>

using namespace fescuewood;

/// A node whose target answers at once, and another one that answers nothing.
TEST_GROUP_BASE(CallLog, CoreFixture) {
  const DurationMs Remaining{1000};

  void start(int Status) {
    Hooks.Target.Run = [Status](const CallRequest &, DurationMs,
                                const RunHook &OnResult) {
      OnResult(makeResult(Status));
    };
    Settings.Routing = RoutingMode::Random;
    startCore(makeConfig(6, {{"east", "coast"}}), {"east/0", "east/1"});
    CallRequest Request = makeRequest(Remaining);
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
