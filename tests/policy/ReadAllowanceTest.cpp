#include "policy/ReadAllowance.h"

#include "support/Property.h"

#include <algorithm>
#include <cstdlib>
#include <optional>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ReadAllowance){};

// Nodes read as early as allowed or later, restart at any time, and their reads
// have different delays. Guards against a window in which more reads arrive
// than the platform allows.
TEST(ReadAllowance, LimitsTheFleetInEveryWindow) {
  checkProperty("reads in any window <= allowance", [] {
    const auto Reads = *rc::gen::inRange<std::uint32_t>(1, 40);
    const auto Nodes = *rc::gen::inRange<std::uint32_t>(1, 40);
    std::vector<TimeMs> Taken;
    DurationMs Window;
    for (std::uint32_t Node = 0; Node < Nodes; ++Node) {
      TimeMs Now(0);
      std::optional<ReadAllowance> Allowance;
      // Time steps in ms; a negative one also restarts the process.
      for (const int Step : *rc::gen::container<std::vector<int>>(
               rc::gen::inRange(-500, 1500))) {
        Now = Now + DurationMs(std::abs(Step));
        if (!Allowance || Step < 0)
          Allowance.emplace(Reads, Nodes, Now);
        Window = Allowance->window();
        while (Allowance->take(Now))
          Taken.push_back(Now + DurationMs(*rc::gen::inRange<std::int64_t>(
                                    0, ReadDelayVariation.Value)));
        RC_ASSERT(Allowance->nextRead(Now) > Now);
      }
    }
    std::sort(Taken.begin(), Taken.end());
    for (std::size_t First = 0; First < Taken.size(); ++First) {
      const auto Last =
          std::lower_bound(Taken.begin(), Taken.end(), Taken[First] + Window);
      const auto Count = Last - (Taken.begin() + static_cast<long>(First));
      RC_ASSERT(Count * 1000 <= Reads * Window.Value);
    }
  });
}

TEST(ReadAllowance, AllowsOneReadPerWindowWithDeclaredFleetSize) {
  ReadAllowance Allowance(2000, 1200, TimeMs(0));

  CHECK_FALSE(Allowance.take(TimeMs(1099)));
  CHECK(Allowance.take(TimeMs(1100)));
  CHECK_FALSE(Allowance.take(TimeMs(2199)));
  CHECK(TimeMs(2200) == Allowance.nextRead(TimeMs(1500)));
}

TEST(ReadAllowance, WidensWindowWhenNodesExceedReadsPerSecond) {
  ReadAllowance Allowance(2000, 5000, TimeMs(0));

  CHECK(DurationMs(3000) == Allowance.window());
  LONGS_EQUAL(1, Allowance.readsPerWindow());
}
