#include "support/Property.h"

#include "policy/WorkList.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// The same answer by a scan of all items.
std::optional<std::uint64_t> scanForLongest(const std::vector<WorkItem> &Items,
                                            const ServicePace &Pace) {
  double Before = 0;
  const WorkItem *Longest = nullptr;
  for (const WorkItem &Item : Items) {
    if (!Longest || Item.Work > Longest->Work ||
        (Item.Work == Longest->Work && Item.Arrival > Longest->Arrival))
      Longest = &Item;
    const double Start =
        static_cast<double>(Pace.Begin.Value) + Before / Pace.Speed;
    if (static_cast<double>(Item.LatestStart.Value) < Start)
      return Longest->Arrival;
    Before += static_cast<double>(Item.Work.Value);
  }
  return std::nullopt;
}

} // namespace

TEST_GROUP(WorkList){};

// Guards against summaries of blocks that are out of date after a change.
TEST(WorkList, FindsWhatAScanOfAllItemsFinds) {
  checkProperty("longest up to the first late item", [] {
    WorkList List;
    std::vector<WorkItem> Items;
    const auto Steps = *rc::gen::inRange(1, 400);
    for (int I = 0; I < Steps; ++I) {
      if (*rc::gen::inRange(0, 4) == 0 && !Items.empty()) {
        const auto At = *rc::gen::inRange<std::size_t>(0, Items.size());
        List.erase(Items[At]);
        Items.erase(Items.begin() + static_cast<std::ptrdiff_t>(At));
      } else {
        WorkItem Item;
        Item.Key = *rc::gen::inRange(0, 1000);
        Item.Arrival = static_cast<std::uint64_t>(I);
        Item.Work = DurationMs(*rc::gen::inRange(1, 50));
        Item.LatestStart = TimeMs(Item.Key * 4);
        List.insert(Item);
        Items.push_back(Item);
      }
      std::sort(
          Items.begin(), Items.end(), [](const WorkItem &L, const WorkItem &R) {
            return std::pair(L.Key, L.Arrival) < std::pair(R.Key, R.Arrival);
          });
      // Powers of two, which divide without rounding.
      const ServicePace Pace{TimeMs(*rc::gen::inRange(0, 300)),
                             *rc::gen::element(0.5, 1.0, 2.0, 4.0)};
      const auto Found = List.longestUpToFirstLate(Pace);
      const auto Expected = scanForLongest(Items, Pace);
      RC_ASSERT(Found.has_value() == Expected.has_value());
      RC_ASSERT(!Found || Found->Arrival == *Expected);
      RC_ASSERT(List.size() == Items.size());
      RC_ASSERT(Items.empty() || List.front().Arrival == Items.front().Arrival);
    }
  });
}
