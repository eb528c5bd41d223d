#include "sources/SourceHealth.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(SourceHealth) {
  std::vector<bool> States;
  std::vector<EventId> Events;
  SourceHealth Health{[this](bool Reachable) { States.push_back(Reachable); },
                      [this](const Event &E) { Events.push_back(E.Id); }};
};

TEST(SourceHealth, CountsASourceAsUnreachableAfterTwoConsecutiveFailures) {
  CHECK_FALSE(Health.onFailure(ResultCode::PlatformUnreachable, ""));
  CHECK_FALSE(Health.onSuccess());
  CHECK_FALSE(Health.onFailure(ResultCode::PlatformUnreachable, ""));

  CHECK_TRUE(Health.onFailure(ResultCode::PlatformUnreachable, ""));

  CHECK((std::vector<bool>{false}) == States);
  LONGS_EQUAL(2, Health.consecutiveFailures());
  LONGS_EQUAL(3, Health.totalFailures());
}

TEST(SourceHealth, ReportsAnOutageAndItsEndOnce) {
  for (int I = 0; I < 5; ++I)
    Health.onFailure(ResultCode::PlatformUnreachable, "");

  CHECK_TRUE(Health.onSuccess());

  CHECK_FALSE(Health.onSuccess());
  CHECK((std::vector<bool>{false, true}) == States);
  LONGS_EQUAL(0, Health.consecutiveFailures());
}

// A long outage must not fill the log.
TEST(SourceHealth, ReportsEachNewReasonOnce) {
  Health.onFailure(ResultCode::PlatformUnreachable, "");
  Health.onFailure(ResultCode::PlatformUnreachable, "");
  Health.onFailure(ResultCode::PlatformMalformed, "");

  CHECK((std::vector<EventId>{EventId::PlatformReadFailed, EventId::PlatformOut,
                              EventId::PlatformReadFailed}) == Events);
}
