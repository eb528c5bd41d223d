#include "sources/SourceHealth.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(SourceHealth) {
  std::vector<bool> States;
  std::vector<EventId> Events;
  SourceHealth Health{[this](bool Up) { States.push_back(Up); },
                      [this](const Event &E) { Events.push_back(E.Id); }};
};

TEST(SourceHealth, CountsASourceAsOutAtTheSecondFailureInARow) {
  CHECK_FALSE(Health.failed(ResultCode::PlatformUnreachable, ""));
  CHECK_FALSE(Health.succeeded());
  CHECK_FALSE(Health.failed(ResultCode::PlatformUnreachable, ""));

  CHECK_TRUE(Health.failed(ResultCode::PlatformUnreachable, ""));

  CHECK((std::vector<bool>{false}) == States);
  LONGS_EQUAL(2, Health.failuresInARow());
  LONGS_EQUAL(3, Health.failures());
}

TEST(SourceHealth, SaysOnceThatASourceIsOutAndOnceThatItIsBack) {
  for (int I = 0; I < 5; ++I)
    Health.failed(ResultCode::PlatformUnreachable, "");

  CHECK_TRUE(Health.succeeded());

  CHECK_FALSE(Health.succeeded());
  CHECK((std::vector<bool>{false, true}) == States);
  LONGS_EQUAL(0, Health.failuresInARow());
}

// An outage of hours must not fill the log.
TEST(SourceHealth, TellsEachNewReasonOnce) {
  Health.failed(ResultCode::PlatformUnreachable, "");
  Health.failed(ResultCode::PlatformUnreachable, "");
  Health.failed(ResultCode::PlatformMalformed, "");

  CHECK((std::vector<EventId>{EventId::PlatformReadFailed, EventId::PlatformOut,
                              EventId::PlatformReadFailed}) == Events);
}
