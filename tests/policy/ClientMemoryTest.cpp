#include "policy/ClientMemory.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start{10'000};
constexpr TimeMs Later = Start + DurationMs(5000);

} // namespace

TEST_GROUP(ClientMemory) {
  ClientMemory Account{{1000, 3}};

  ClientMemory::ClientId add(const char *Address, ClientActivity Activity,
                             std::size_t Bytes, TimeMs At = Start) {
    const auto Id = Account.open(Address, At);
    Account.update(Id, Activity, Bytes, true, At);
    return Id;
  }
  void expectExcess(ClientMemory::ClientId Id, TimeMs At = Later) {
    const auto Found = Account.findExcess(At);
    CHECK(Found.has_value());
    LONGS_EQUAL(Id, *Found);
  }
};

// Guards against closing connections while there is room.
TEST(ClientMemory, ClosesNothingWithinTheLimits) {
  add("a", ClientActivity::Sending, 400);
  add("a", ClientActivity::Idle, 400);

  CHECK_FALSE(Account.findExcess(Later).has_value());
  LONGS_EQUAL(800, Account.heldBytes());
}

// Guards against a large request that makes progress being closed for those
// that stall.
TEST(ClientMemory, ClosesTheStalledOneThatHoldsMostForLongest) {
  add("a", ClientActivity::Sending, 900, Later);
  const auto Small = add("b", ClientActivity::Reading, 60);
  const auto Large = add("c", ClientActivity::Sending, 70);

  expectExcess(Large);
  Account.close(Large);
  Account.update(Small, ClientActivity::Reading, 200, false, Later);
  expectExcess(Small);
}

// Guards against one address that makes slow progress on many connections and
// takes the memory of all others.
TEST(ClientMemory, ClosesAConnectionOfTheLargestCrowdIfNoneIsStalled) {
  add("a", ClientActivity::Sending, 900, Later);
  const auto Crowd = add("b", ClientActivity::Sending, 90, Later);
  add("b", ClientActivity::Sending, 80, Later);

  expectExcess(Crowd);
}

// Guards against closing connections whose requests run.
TEST(ClientMemory, NeverClosesOneThatWaitsForTheNode) {
  for (int I = 0; I < 4; ++I)
    add("a", ClientActivity::Waiting, 500);

  CHECK_FALSE(Account.findExcess(Later).has_value());
}

// Guards against idle connections that keep new callers out.
TEST(ClientMemory, MakesRoomForAConnection) {
  add("a", ClientActivity::Idle, 1, Start + DurationMs(100));
  add("a", ClientActivity::Waiting, 1);
  const auto Oldest = add("b", ClientActivity::Idle, 1);
  CHECK_FALSE(Account.findExcess(Later).has_value());
  add("c", ClientActivity::Idle, 1, Later);

  expectExcess(Oldest);
  Account.close(Oldest);
  CHECK_FALSE(Account.findExcess(Later).has_value());
}

// Guards against closing new connections before their request has arrived.
TEST(ClientMemory, KeepsNewConnections) {
  for (int I = 0; I < 4; ++I)
    add("a", ClientActivity::Idle, 1, Later);

  CHECK_FALSE(Account.findExcess(Later + DurationMs(100)).has_value());
}

// Guards against holding the time of a target's run against the caller.
TEST(ClientMemory, ARunCountsAsProgress) {
  const auto Id = add("a", ClientActivity::Waiting, 2000);
  add("b", ClientActivity::Idle, 10);
  Account.update(Id, ClientActivity::Reading, 2000, false, Later);

  expectExcess(Id + 1);
}
