#include "support/Property.h"

#include "callers/BodyBudget.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::size_t Limit = 100;

/// Bodies that grow in steps, as the budget should see them.
class BodyModel {
public:
  using BodyId = BodyBudget::BodyId;

  void reserve(BodyId Body, std::size_t Bytes) {
    Waiting[Body] = Bytes;
    if (Budget.reserve(Body, Bytes, [this, Body] { onReserved(Body); }))
      onReserved(Body);
    checkInvariants();
  }

  void release(BodyId Body) {
    Waiting.erase(Body);
    Held.erase(Body);
    Budget.release(Body);
    checkInvariants();
  }

  void checkInvariants() const {
    std::size_t Sum = 0;
    for (const auto &[Body, Bytes] : Held) {
      Sum += Bytes;
      RC_ASSERT(Budget.heldBytes(Body) == Bytes);
    }
    RC_ASSERT(Budget.heldBytes() == Sum);
    RC_ASSERT(Held.empty() || Sum - Held.begin()->second <= Limit);
    RC_ASSERT(Budget.waiterCount() == Waiting.size());
    // Somebody can always go on.
    RC_ASSERT(Waiting.empty() || !Held.empty());
    RC_ASSERT(Held.empty() || !Waiting.contains(Held.begin()->first));
  }

  BodyBudget Budget{Limit};
  std::map<BodyId, std::size_t> Held;
  std::map<BodyId, std::size_t> Waiting;

private:
  void onReserved(BodyId Body) {
    Held[Body] += Waiting.at(Body);
    Waiting.erase(Body);
  }
};

} // namespace

TEST_GROUP(BodyBudget){};

// For any order of steps, releases and cancellations, reserved memory stays
// within the limit, except for the oldest body, and every waiter is eventually
// admitted.
TEST(BodyBudget, EnforcesTheLimitAndAdmitsEveryWaiter) {
  checkProperty("held <= limit + the oldest, none starves", [] {
    BodyModel Model;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 12), rc::gen::inRange(0, 150)));
    for (const auto &[Number, Bytes] : Steps) {
      const auto Body = static_cast<BodyBudget::BodyId>(Number);
      if (Bytes % 5 == 0)
        Model.release(Body);
      else if (!Model.Waiting.contains(Body))
        Model.reserve(Body, static_cast<std::size_t>(Bytes));
    }
    while (!Model.Held.empty())
      Model.release(Model.Held.begin()->first);
    RC_ASSERT(Model.Waiting.empty());
  });
}

TEST(BodyBudget, GrantsReservationsInFifoOrder) {
  BodyBudget Budget(Limit);
  const auto Holder = Budget.newBody();
  const auto First = Budget.newBody();
  const auto Second = Budget.newBody();
  std::string Order;
  CHECK(Budget.reserve(Holder, 80, {}));

  CHECK_FALSE(Budget.reserve(First, 50, [&] { Order += "first "; }));
  CHECK_FALSE(Budget.reserve(Second, 10, [&] { Order += "second"; }));
  Budget.release(Holder);

  STRCMP_EQUAL("first second", Order.c_str());
}

// Guards against bodies that wait for each other: each holds memory and none
// gets the rest of what it needs.
TEST(BodyBudget, OldestBodyGoesOnBeyondTheLimit) {
  BodyBudget Budget(Limit);
  const auto Oldest = Budget.newBody();
  const auto Other = Budget.newBody();
  bool Granted = false;
  CHECK(Budget.reserve(Oldest, 50, {}));
  CHECK(Budget.reserve(Other, 50, {}));

  CHECK(Budget.reserve(Oldest, 500, {}));
  CHECK_FALSE(Budget.reserve(Other, 10, [&] { Granted = true; }));
  Budget.release(Oldest);

  CHECK(Granted);
}

// Guards against one large body that uses up the memory of all short ones.
TEST(BodyBudget, GrowingBodiesLeaveRoomForNewOnes) {
  BodyBudget Budget(Limit);
  const auto Oldest = Budget.newBody();
  const auto Growing = Budget.newBody();
  CHECK(Budget.reserve(Oldest, 30, {}));
  CHECK(Budget.reserve(Growing, 20, {}));

  CHECK_FALSE(Budget.reserve(Growing, 10, [] {}));

  CHECK(Budget.reserve(Budget.newBody(), 50, {}));
}
