#include "core/HybridClock.h"

#include "support/Property.h"

#include <algorithm>
#include <array>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Three nodes with skewed wall clocks that may stop or jump back.
struct SkewedNodes {
  static constexpr std::size_t Count = 3;

  std::array<std::int64_t, Count> Wall{1000, 1400, 700};
  std::array<HybridClock, Count> Clocks{clockOf(0), clockOf(1), clockOf(2)};

  HybridClock clockOf(std::size_t I) {
    return HybridClock(Clock([this, I] { return TimeMs(Wall[I]); }));
  }
};

} // namespace

TEST_GROUP(HybridClock){};

TEST(HybridClock, OrdersEffectAfterCauseDespiteClockSkew) {
  checkProperty("cause < effect", [](const std::vector<std::uint16_t> &Steps) {
    SkewedNodes Nodes;
    std::array<HybridTime, SkewedNodes::Count> Latest{};
    for (std::uint16_t Step : Steps) {
      const std::size_t From = Step % 3;
      const std::size_t To = (Step / 3) % 3;
      Nodes.Wall[From] += static_cast<int>((Step / 9) % 41) - 20;

      const HybridTime Sent = Nodes.Clocks[From].stamp();
      RC_ASSERT(Nodes.Clocks[To].merge(Sent));
      const HybridTime Received = Nodes.Clocks[To].stamp();

      RC_ASSERT(Sent > Latest[From]);
      RC_ASSERT(Received > Sent);
      RC_ASSERT(Received > Latest[To]);
      Latest[From] = std::max(Latest[From], Sent);
      Latest[To] = Received;
    }
  });
}

TEST(HybridClock, StaysWithinTheLargestWallClock) {
  checkProperty("bounded drift", [](const std::vector<std::uint8_t> &Steps) {
    SkewedNodes Nodes;
    std::int64_t LargestWall = 1400;
    for (std::uint8_t Step : Steps) {
      Nodes.Wall[Step % 3] += Step % 7;
      LargestWall = std::max(LargestWall, Nodes.Wall[Step % 3]);

      const HybridTime Sent = Nodes.Clocks[Step % 3].stamp();
      Nodes.Clocks[(Step / 3) % 3].merge(Sent);

      RC_ASSERT(Sent.WallMs <= LargestWall);
      RC_ASSERT(HybridTime::unpack(Sent.packed()) == Sent);
    }
  });
}

TEST(HybridClock, IgnoresTimestampBeyondMaxLead) {
  HybridClock Stamps(Clock([] { return TimeMs(1000); }), DurationMs(500));

  CHECK_FALSE(Stamps.merge({1501, 0}));
  CHECK_TRUE(Stamps.merge({1500, 7}));

  CHECK(HybridTime({1500, 8}) == Stamps.stamp());
}

TEST(HybridClock, CarriesCounterOverflowIntoMilliseconds) {
  HybridClock Stamps(Clock([] { return TimeMs(1000); }));
  Stamps.merge({1000, 65535});

  CHECK(HybridTime({1001, 0}) == Stamps.stamp());
}
