#include "support/Property.h"

#include "policy/StreamBudget.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::size_t Limit = 100;

/// Streams that grow in steps, as the budget should see them.
class StreamModel {
public:
  using StreamId = StreamBudget::StreamId;

  void reserve(StreamId Stream, std::size_t Bytes) {
    Waiting[Stream] = Bytes;
    if (Budget.reserve(Stream, Bytes, [this, Stream] { onReserved(Stream); }))
      onReserved(Stream);
    checkInvariants();
  }

  void release(StreamId Stream) {
    Waiting.erase(Stream);
    Held.erase(Stream);
    Budget.release(Stream);
    checkInvariants();
  }

  void checkInvariants() const {
    std::size_t Sum = 0;
    for (const auto &[Stream, Bytes] : Held) {
      Sum += Bytes;
      RC_ASSERT(Budget.heldBytes(Stream) == Bytes);
    }
    RC_ASSERT(Budget.heldBytes() == Sum);
    RC_ASSERT(Held.empty() || Sum - Held.begin()->second <= Limit);
    RC_ASSERT(Budget.waiterCount() == Waiting.size());
    // Somebody can always go on.
    RC_ASSERT(Waiting.empty() || !Held.empty());
    RC_ASSERT(Held.empty() || !Waiting.contains(Held.begin()->first));
  }

  StreamBudget Budget{Limit};
  std::map<StreamId, std::size_t> Held;
  std::map<StreamId, std::size_t> Waiting;

private:
  void onReserved(StreamId Stream) {
    Held[Stream] += Waiting.at(Stream);
    Waiting.erase(Stream);
  }
};

} // namespace

TEST_GROUP(StreamBudget){};

// For any order of steps, releases and cancellations, reserved memory stays
// within the limit, except for the oldest stream, and every waiter is
// eventually admitted.
TEST(StreamBudget, EnforcesTheLimitAndAdmitsEveryWaiter) {
  checkProperty("held <= limit + the oldest, none starves", [] {
    StreamModel Model;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(1, 12), rc::gen::inRange(0, 150)));
    for (const auto &[Number, Bytes] : Steps) {
      const auto Stream = static_cast<StreamBudget::StreamId>(Number);
      if (Bytes % 5 == 0)
        Model.release(Stream);
      else if (!Model.Waiting.contains(Stream))
        Model.reserve(Stream, static_cast<std::size_t>(Bytes));
    }
    while (!Model.Held.empty())
      Model.release(Model.Held.begin()->first);
    RC_ASSERT(Model.Waiting.empty());
  });
}

TEST(StreamBudget, GrantsReservationsInFifoOrder) {
  StreamBudget Budget(Limit);
  const auto Holder = Budget.newStream();
  const auto First = Budget.newStream();
  const auto Second = Budget.newStream();
  std::string Order;
  CHECK(Budget.reserve(Holder, 80, {}));

  CHECK_FALSE(Budget.reserve(First, 50, [&] { Order += "first "; }));
  CHECK_FALSE(Budget.reserve(Second, 10, [&] { Order += "second"; }));
  Budget.release(Holder);

  STRCMP_EQUAL("first second", Order.c_str());
}

// Guards against streams that wait for each other: each holds memory and none
// gets the rest of what it needs.
TEST(StreamBudget, OldestStreamGoesOnBeyondTheLimit) {
  StreamBudget Budget(Limit);
  const auto Oldest = Budget.newStream();
  const auto Other = Budget.newStream();
  bool Granted = false;
  CHECK(Budget.reserve(Oldest, 50, {}));
  CHECK(Budget.reserve(Other, 50, {}));

  CHECK(Budget.reserve(Oldest, 500, {}));
  CHECK_FALSE(Budget.reserve(Other, 10, [&] { Granted = true; }));
  Budget.release(Oldest);

  CHECK(Granted);
}

// Guards against one large stream that uses up the memory of all short ones.
TEST(StreamBudget, GrowingStreamsLeaveRoomForNewOnes) {
  StreamBudget Budget(Limit);
  const auto Oldest = Budget.newStream();
  const auto Growing = Budget.newStream();
  CHECK(Budget.reserve(Oldest, 30, {}));
  CHECK(Budget.reserve(Growing, 20, {}));

  CHECK_FALSE(Budget.reserve(Growing, 10, [] {}));

  CHECK(Budget.reserve(Budget.newStream(), 50, {}));
}
