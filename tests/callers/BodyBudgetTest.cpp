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
    std::map<int, std::size_t> Booked;
    std::map<int, std::size_t> Waiting;
    const auto Sizes =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(1, 150));
    const auto Check = [&] {
      std::size_t Sum = 0;
      for (const auto &[Owner, Bytes] : Booked)
        Sum += Bytes;
      RC_ASSERT(Budget.held() == Sum);
      RC_ASSERT(Sum <= Limit || Booked.size() == 1);
      RC_ASSERT(Budget.waiting() == Waiting.size());
    };

    for (std::size_t I = 0; I < Sizes.size(); ++I) {
      const int Owner = static_cast<int>(I);
      const auto Bytes = static_cast<std::size_t>(Sizes[I]);
      const auto OnRoom = [&, Owner] { Booked.insert(Waiting.extract(Owner)); };
      Waiting[Owner] = Bytes;
      if (Budget.book(&Sizes[I], Bytes, OnRoom))
        OnRoom();
      Check();
      if (Bytes % 5 == 0 && Budget.cancel(&Sizes[I]))
        Waiting.erase(Owner);
      Check();
    }
    while (!Booked.empty()) {
      const std::size_t Bytes = Booked.begin()->second;
      Booked.erase(Booked.begin());
      Budget.release(Bytes);
      Check();
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

  CHECK_FALSE(Budget.book(&First, 50, [&] { Order += "first "; }));
  CHECK_FALSE(Budget.book(&Second, 10, [&] { Order += "second"; }));
  Budget.release(80);

  STRCMP_EQUAL("first second", Order.c_str());
}
