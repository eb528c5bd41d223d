#include "policy/RumourQueue.h"

#include "support/Property.h"

#include <algorithm>
#include <bit>
#include <map>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(RumourQueue){};

TEST(RumourQueue, ReturnsUrgentFirstBoundsSendsAndTerminates) {
  checkProperty(
      "urgent first, bounded sends",
      [](const std::vector<std::uint8_t> &Names) {
        RumourQueue Queue;
        std::map<std::string, bool> Urgent;
        for (const std::uint8_t Name : Names) {
          Urgent[std::to_string(Name)] = Name % 3 == 0;
          Queue.add(std::to_string(Name), Name % 3 == 0, Names.size());
        }
        const std::size_t Waiting = Queue.size();
        RC_ASSERT(Waiting - Queue.urgent() <= MaxPendingRumours);
        // Each record is sent at most bit_width(fleet size) + 2 times.
        const int BaseSends = static_cast<int>(std::bit_width(Names.size()));
        std::map<std::string, int> Taken;
        for (std::size_t UrgentLeft = Queue.urgent(); Queue.size() > 0;
             UrgentLeft = Queue.urgent()) {
          const auto Count = *rc::gen::inRange<std::size_t>(1, 9);
          const auto Batch = Queue.take(Count);
          RC_ASSERT(Batch.size() <= Count && !Batch.empty());
          const auto First = std::count_if(
              Batch.begin(), Batch.end(),
              [&](const std::string &Name) { return Urgent[Name]; });
          RC_ASSERT(static_cast<std::size_t>(First) ==
                    std::min(Count, UrgentLeft));
          for (const std::string &Name : Batch)
            RC_ASSERT(++Taken[Name] <= BaseSends + 2);
        }
        RC_ASSERT(Taken.size() == Waiting);
      });
}
