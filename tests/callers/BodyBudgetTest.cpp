#include "support/Property.h"

#include "callers/BodyBudget.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::size_t Limit = 100;

} // namespace

TEST_GROUP(BodyBudget){};

// For any order of reservations, releases and cancellations, reserved memory
// stays within the limit, except for a single larger body, and every waiter is
// eventually admitted.
TEST(BodyBudget, EnforcesTheLimitAndAdmitsEveryWaiter) {
  checkProperty("held <= limit, none starves", [] {
    BodyBudget Budget(Limit);
    std::map<int, std::size_t> Reserved;
    std::map<int, std::size_t> Waiting;
    const auto Sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 150));
    const auto CheckInvariants = [&] {
      std::size_t Sum = 0;
      for (const auto &[Owner, Bytes] : Reserved)
        Sum += Bytes;
      RC_ASSERT(Budget.heldBytes() == Sum);
      RC_ASSERT(Sum <= Limit || Reserved.size() == 1);
      RC_ASSERT(Budget.waiterCount() == Waiting.size());
    };

    for (std::size_t I = 0; I < Sizes.size(); ++I) {
      const int Owner = static_cast<int>(I);
      const auto Bytes = static_cast<std::size_t>(Sizes[I]);
      const auto OnReserved = [&, Owner] {
        Reserved.insert(Waiting.extract(Owner));
      };
      Waiting[Owner] = Bytes;
      if (Budget.reserve(&Sizes[I], Bytes, OnReserved))
        OnReserved();
      CheckInvariants();
      if (Bytes % 5 == 0 && Budget.cancel(&Sizes[I]))
        Waiting.erase(Owner);
      CheckInvariants();
    }
    while (!Reserved.empty()) {
      const std::size_t Bytes = Reserved.begin()->second;
      Reserved.erase(Reserved.begin());
      Budget.release(Bytes);
      CheckInvariants();
    }
    RC_ASSERT(Waiting.empty());
  });
}

TEST(BodyBudget, GrantsReservationsInFifoOrder) {
  BodyBudget Budget(Limit);
  const int First = 0;
  const int Second = 0;
  std::string Order;
  Budget.add(80);

  CHECK_FALSE(Budget.reserve(&First, 50, [&] { Order += "first "; }));
  CHECK_FALSE(Budget.reserve(&Second, 10, [&] { Order += "second"; }));
  Budget.release(80);

  STRCMP_EQUAL("first second", Order.c_str());
}
