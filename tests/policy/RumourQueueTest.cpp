#include "policy/RumourQueue.h"

#include "support/Property.h"

#include <algorithm>
#include <bit>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(RumourQueue){};

TEST(RumourQueue, GivesUrgentOnesFirstEachBoundedlyOftenAndAlwaysEnds) {
  checkProperty("takes", [](const std::vector<std::uint8_t> &Names) {
    RumourQueue Queue;
    std::map<std::string, bool> Urgent;
    for (const std::uint8_t Name : Names) {
      Urgent[std::to_string(Name)] = Name % 3 == 0;
      Queue.add(std::to_string(Name), Name % 3 == 0, Names.size());
    }
    const std::size_t Waiting = Queue.size();
    RC_ASSERT(Waiting - Queue.urgent() <= MaxPendingRumours);
    // Each as often as the fleet has bits in its number of members, and two
    // more.
    const int Most = static_cast<int>(std::bit_width(Names.size()));
    std::map<std::string, int> Taken;
    for (std::size_t Left = Queue.urgent(); Queue.size() > 0;
         Left = Queue.urgent()) {
      const auto Count = *rc::gen::inRange<std::size_t>(1, 9);
      const auto Some = Queue.take(Count);
      RC_ASSERT(Some.size() <= Count && !Some.empty());
      const auto First =
          std::count_if(Some.begin(), Some.end(),
                        [&](const std::string &Name) { return Urgent[Name]; });
      RC_ASSERT(static_cast<std::size_t>(First) == std::min(Count, Left));
      for (const std::string &Name : Some)
        RC_ASSERT(++Taken[Name] <= Most + 2);
    }
    RC_ASSERT(Taken.size() == Waiting);
  });
}
