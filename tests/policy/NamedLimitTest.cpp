#include "policy/NamedLimit.h"

#include "support/Property.h"
#include "support/WindowCount.h"

#include <algorithm>
#include <limits>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start{10'000};

TargetNotice named(double Rate) { return {.RequestsPerSecond = Rate}; }

/// Offers a request every \p Step and returns the times of those that started.
std::vector<TimeMs> offer(NamedLimit &Limit, TimeMs From, DurationMs Span,
                          DurationMs Step) {
  std::vector<TimeMs> Started;
  for (TimeMs Now = From; Now < From + Span; Now = Now + Step) {
    if (!Limit.mayStart(Now))
      continue;
    Limit.onStart(Now);
    Started.push_back(Now);
  }
  return Started;
}

/// Largest number of times within any 4 s; \p Times are in order.
std::size_t mostIn4Seconds(const std::vector<TimeMs> &Times) {
  return mostInWindow(Times.begin(), Times.end(), DurationMs(4000));
}

} // namespace

TEST_GROUP(NamedLimit) { NamedLimit Limit; };

TEST(NamedLimit, WithoutALimitEveryRequestStarts) {
  LONGS_EQUAL(1000,
              offer(Limit, Start, DurationMs(1000), DurationMs(1)).size());
  CHECK(DurationMs(0) == Limit.wait(100, Start));
}

TEST(NamedLimit, UsesTheWholeRateAndNoMore) {
  for (const double Rate : {0.5, 3.0, 24.3, 400.0}) {
    Limit.clear();
    CHECK(Limit.update(named(Rate), Start, Start));

    const auto Started = offer(Limit, Start, DurationMs(20'000), DurationMs(1));

    CHECK(static_cast<double>(Started.size()) >= 20 * Rate - 1);
    CHECK(static_cast<double>(mostIn4Seconds(Started)) <= 4 * 1.5 * Rate + 5);
  }
}

// The bound of the target holds whatever it names and whenever it does.
TEST(NamedLimit, StaysBelowTheBoundWhileTheLimitChanges) {
  checkProperty("bounded by the largest limit of the window",
                [](const std::vector<std::uint16_t> &Rates) {
                  NamedLimit Changing;
                  TimeMs Now = Start;
                  double Highest = 0;
                  std::vector<TimeMs> Started;
                  for (const std::uint16_t Rate : Rates) {
                    const double PerSecond = Rate % 600 / 10.0;
                    Highest = std::max(Highest, PerSecond);
                    Changing.update(named(PerSecond), Now, Now);
                    const auto More =
                        offer(Changing, Now, DurationMs(700), DurationMs(3));
                    Started.insert(Started.end(), More.begin(), More.end());
                    Now = Now + DurationMs(700);
                  }
                  RC_ASSERT(static_cast<double>(mostIn4Seconds(Started)) <=
                            4 * 1.5 * Highest + 5);
                });
}

// Guards against a limit that never binds because each answer names another.
TEST(NamedLimit, StaysBelowTheBoundWhileEachAnswerNamesAnotherLimit) {
  std::vector<TimeMs> Started;
  TimeMs Now = Start;
  for (int Answer = 0; Answer < 800; ++Answer) {
    Limit.update(named(Answer % 2 == 0 ? 20 : 20.1), Now, Now);
    const auto More = offer(Limit, Now, DurationMs(10), DurationMs(1));
    Started.insert(Started.end(), More.begin(), More.end());
    Now = Now + DurationMs(10);
  }

  CHECK(static_cast<double>(mostIn4Seconds(Started)) <= 4 * 1.5 * 20.1 + 5);
  CHECK(static_cast<double>(Started.size()) >= 8 * 20 - 1);
}

TEST(NamedLimit, LowerLimitHoldsAtOnce) {
  Limit.update(named(100), Start, Start);
  offer(Limit, Start, DurationMs(1000), DurationMs(1));
  const TimeMs Lowered = Start + DurationMs(1000);

  Limit.update(named(2), Start, Lowered);

  CHECK(offer(Limit, Lowered, DurationMs(4000), DurationMs(1)).size() <= 10);
}

TEST(NamedLimit, EndsOnlyWithAnAnswerToALaterRequest) {
  Limit.update(named(5), Start, Start + DurationMs(100));

  CHECK_FALSE(
      Limit.update({}, Start + DurationMs(50), Start + DurationMs(200)));
  CHECK_TRUE(Limit.rate().has_value());
  CHECK_TRUE(
      Limit.update({}, Start + DurationMs(100), Start + DurationMs(300)));
  CHECK_FALSE(Limit.rate().has_value());
}

TEST(NamedLimit, UnreadableLimitChangesNothing) {
  CHECK_FALSE(Limit.update({.LimitUnreadable = true}, Start, Start));
  CHECK_FALSE(Limit.rate().has_value());
  Limit.update(named(5), Start, Start);

  CHECK_FALSE(Limit.update({.LimitUnreadable = true}, Start + DurationMs(50),
                           Start + DurationMs(60)));

  DOUBLES_EQUAL(5, *Limit.rate(), 0);
}

TEST(NamedLimit, LimitOfZeroLetsARareRequestTry) {
  Limit.update(named(0), Start, Start);

  const auto Started = offer(Limit, Start, DurationMs(12'000), DurationMs(1));

  CHECK(Started.size() >= 2);
  CHECK(mostIn4Seconds(Started) <= 3);
}

TEST(NamedLimit, WaitIsTheTimeUntilARequestCanStart) {
  Limit.update(named(10), Start, Start);
  offer(Limit, Start, DurationMs(1), DurationMs(1));
  TimeMs Now = Start + DurationMs(1);
  while (Limit.mayStart(Now))
    Limit.onStart(Now);

  const DurationMs Wait = Limit.wait(0, Now);
  CHECK_FALSE(Limit.mayStart(Now + Wait - DurationMs(1)));
  CHECK_TRUE(Limit.mayStart(Now + Wait));
  CHECK(Limit.wait(3, Now) >= Wait + Limit.interval() * 3 - DurationMs(1));
}
