#include "policy/RecentRefusals.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Now{5000};
constexpr DurationMs RoomIn{80};

CallProfile call(std::int64_t RemainingMs) {
  return {"east/queue-0", "read", "clerks", DurationMs(RemainingMs)};
}

} // namespace

TEST_GROUP(RecentRefusals) {
  RecentRefusals Refusals;

  void setup() override { Refusals.add(call(400), RoomIn, Now); }
};

TEST(RecentRefusals, HoldsForLikeCallsUntilTheTargetHasRoom) {
  LONGS_EQUAL(80, Refusals.roomIn(call(400), Now)->Value);
  LONGS_EQUAL(1, Refusals.roomIn(call(400), Now + DurationMs(79))->Value);
  CHECK_FALSE(Refusals.roomIn(call(400), Now + RoomIn).has_value());
}

TEST(RecentRefusals, DoesNotHoldForCallsWithMoreTime) {
  CHECK(Refusals.roomIn(call(450), Now).has_value());
  CHECK_FALSE(Refusals.roomIn(call(451), Now).has_value());
}

TEST(RecentRefusals, DoesNotHoldForOtherTargetsRoutesOrOrganisations) {
  CallProfile Other = call(400);
  Other.Target = "east/queue-1";
  CHECK_FALSE(Refusals.roomIn(Other, Now).has_value());
  Other = call(400);
  Other.Route = "write";
  CHECK_FALSE(Refusals.roomIn(Other, Now).has_value());
  Other = call(400);
  Other.Organisation = "tribunal";
  CHECK_FALSE(Refusals.roomIn(Other, Now).has_value());
}

TEST(RecentRefusals, HoldsForABoundedTime) {
  Refusals.add(call(400), DurationMs(60'000), Now);

  CHECK_FALSE(Refusals.roomIn(call(400), Now + MaxRefusalTime).has_value());
}

TEST(RecentRefusals, KeepsABoundedNumber) {
  for (std::size_t I = 0; I < 2 * MaxRecentRefusals; ++I) {
    const std::string Target = std::to_string(I);
    Refusals.add({Target, "read", "clerks", DurationMs(400)}, RoomIn, Now);
  }
  CHECK_FALSE(Refusals
                  .roomIn({std::to_string(2 * MaxRecentRefusals - 1), "read",
                           "clerks", DurationMs(400)},
                          Now)
                  .has_value());

  Refusals.add(call(300), RoomIn, Now + RoomIn);
  CHECK(Refusals.roomIn(call(300), Now + RoomIn).has_value());
}

TEST(RecentRefusals, ForgetsEndedOnesThoughItIsNotFull) {
  CallProfile Later = call(400);
  Later.Route = "write";
  Refusals.add(Later, MaxRefusalTime, Now + RoomIn);
  LONGS_EQUAL(2, Refusals.size());

  CHECK(Refusals.roomIn(Later, Now + MaxRefusalTime).has_value());
  LONGS_EQUAL(1, Refusals.size());
  CHECK_FALSE(Refusals.roomIn(Later, Now + MaxRefusalTime * 2).has_value());
  LONGS_EQUAL(0, Refusals.size());
}
