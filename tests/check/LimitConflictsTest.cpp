#include "check/LimitConflicts.h"

#include <limits>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

/// A configuration whose limits are at the edge of a finding, which each test
/// moves beyond the edge in one place.
TEST_GROUP(LimitConflicts) {
  void setup() override {
    Route R;
    R.Name = "read";
    R.Timeout = MaxRouteTimeout;
    R.Objective = MaxRouteTimeout;
    R.MaxAttempts = 64;
    R.MaxBodyBytes = 1000;
    Config.Routes.push_back(R);
    Config.Rates["slow"] = {"slow", 10, 1};
    Config.Limits = CallerLimits{"all", 16384, 1000, {}, {}};
  }

  void expectOnly(FindingKind Kind, const char *Text) {
    const Findings Found = findLimitConflicts(Config);
    LONGS_EQUAL(1, Found.size());
    CHECK_TRUE(Kind == Found.front().Kind);
    STRCMP_EQUAL(Text, Found.front().text().c_str());
  }

  Route &route() { return Config.Routes.front(); }

  Snapshot Config;
};

// Guards against warnings about limits that are only just possible.
TEST(LimitConflicts, FindsNothingAtTheEdges) {
  CHECK_TRUE(findLimitConflicts(Config).empty());

  route().MaxBodyBytes = std::numeric_limits<std::size_t>::max();
  CHECK_TRUE(findLimitConflicts(Config).empty());
}

// Guards against an objective that orders queues by a time after which every
// request has already failed.
TEST(LimitConflicts, FindsAnObjectiveAboveTheTimeout) {
  route().Timeout = DurationMs(2000);
  route().Objective = DurationMs(2001);

  expectOnly(FindingKind::ObjectiveOverTimeout,
             "route read: objective 2001 ms: expected at most the timeout, "
             "2000 ms (objective-over-timeout)");
}

// Guards against calls that hold memory longer than the platform allows.
TEST(LimitConflicts, FindsATimeoutAboveTheMaximum) {
  route().Timeout = DurationMs(MaxRouteTimeout.Value + 1);

  expectOnly(FindingKind::TimeoutOverMaximum,
             "route read: timeout 600001 ms: expected at most 600000 ms "
             "(timeout-over-maximum)");
}

// Guards against attempts that are promised but never made.
TEST(LimitConflicts, FindsAttemptsThatTheTimeoutCannotHold) {
  route().Objective = DurationMs(0);
  route().Timeout = DurationMs(63);

  expectOnly(FindingKind::AttemptsOverTimeout,
             "route read: attempts 64: the timeout, 63 ms, leaves less than "
             "1 ms for each (attempts-over-timeout)");
}

// Guards against a burst that has no room for one whole request.
TEST(LimitConflicts, FindsABurstBelowOneRequest) {
  Config.Rates["slow"].Burst = 0.5;

  expectOnly(FindingKind::BurstBelowOne,
             "rate slow: burst 0.5: expected at least 1, the cost of one "
             "request (burst-below-one)");
}

// Guards against bodies that a route allows but every node refuses with 413.
TEST(LimitConflicts, FindsABodyLimitAboveThatOfAllCallers) {
  route().MaxBodyBytes = 1001;

  expectOnly(FindingKind::BodyOverCallerLimit,
             "route read: body limit 1001 bytes: expected at most the limit of "
             "all callers, 1000 bytes (body-over-caller-limit)");
}
