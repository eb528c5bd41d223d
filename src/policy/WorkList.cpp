#include "policy/WorkList.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <limits>

namespace fescuewood {

namespace {

/// A full block is split into two. Near the square root of the thousand
/// requests that a queue holds under load.
constexpr std::size_t MaxBlockItems = 48;

} // namespace

double paceSpeed(double Speed) {
  constexpr double StepsPerDoubling = 8;
  return std::exp2(std::round(std::log2(Speed) * StepsPerDoubling) /
                   StepsPerDoubling);
}

bool WorkList::precedes(const WorkItem &Left, const WorkItem &Right) {
  if (Left.Key != Right.Key)
    return Left.Key < Right.Key;
  return Left.Arrival < Right.Arrival;
}

bool WorkList::isLonger(const WorkItem &Left, const WorkItem &Right) {
  if (Left.Work != Right.Work)
    return Left.Work > Right.Work;
  return Left.Arrival > Right.Arrival;
}

void WorkList::summarise(Block &Changed) {
  Changed.Work = DurationMs(0);
  Changed.Longest = 0;
  Changed.MarginSpeed = 0;
  for (std::size_t I = 0; I < Changed.Items.size(); ++I) {
    Changed.Work = Changed.Work + Changed.Items[I].Work;
    if (isLonger(Changed.Items[I], Changed.Items[Changed.Longest]))
      Changed.Longest = I;
  }
}

void WorkList::updateMargin(Block &Each, double Speed) {
  if (Each.MarginSpeed == Speed)
    return;
  Each.MarginSpeed = Speed;
  Each.Margin = std::numeric_limits<double>::max();
  DurationMs Before{0};
  for (const WorkItem &Item : Each.Items) {
    const double Latest = Speed * static_cast<double>(Item.LatestStart.Value);
    Each.Margin =
        std::min(Each.Margin, Latest - static_cast<double>(Before.Value));
    Before = Before + Item.Work;
  }
}

/// The block that an item belongs to; there must be one.
std::size_t WorkList::blockOf(const WorkItem &Item) const {
  const auto After = std::partition_point(
      Blocks.begin(), Blocks.end(), [&Item](const Block &Each) {
        return !precedes(Item, Each.Items.front());
      });
  const auto At = static_cast<std::size_t>(After - Blocks.begin());
  return At == 0 ? 0 : At - 1;
}

void WorkList::insert(const WorkItem &Item) {
  ++Count;
  Total = Total + Item.Work;
  if (Blocks.empty()) {
    Blocks.emplace_back().Items.push_back(Item);
    summarise(Blocks.front());
    return;
  }
  const std::size_t At = blockOf(Item);
  std::vector<WorkItem> &Items = Blocks[At].Items;
  Items.insert(std::upper_bound(Items.begin(), Items.end(), Item, precedes),
               Item);
  if (Items.size() > MaxBlockItems)
    split(At);
  else
    summarise(Blocks[At]);
}

void WorkList::split(std::size_t At) {
  std::vector<WorkItem> &Items = Blocks[At].Items;
  const auto Middle =
      Items.begin() + static_cast<std::ptrdiff_t>(Items.size() / 2);
  Block Second;
  Second.Items.assign(Middle, Items.end());
  Items.erase(Middle, Items.end());
  summarise(Blocks[At]);
  summarise(Second);
  Blocks.insert(Blocks.begin() + static_cast<std::ptrdiff_t>(At) + 1,
                std::move(Second));
}

void WorkList::erase(const WorkItem &Item) {
  if (Blocks.empty())
    return;
  const std::size_t At = blockOf(Item);
  std::vector<WorkItem> &Items = Blocks[At].Items;
  const auto Found =
      std::lower_bound(Items.begin(), Items.end(), Item, precedes);
  if (Found == Items.end() || Found->Arrival != Item.Arrival)
    return;
  Total = Total - Found->Work;
  --Count;
  Items.erase(Found);
  if (Items.empty())
    Blocks.erase(Blocks.begin() + static_cast<std::ptrdiff_t>(At));
  else
    summarise(Blocks[At]);
}

std::optional<WorkItem>
WorkList::longestUpToFirstLate(const ServicePace &Pace) {
  const double Begin = Pace.Speed * static_cast<double>(Pace.Begin.Value);
  double Before = 0;
  const WorkItem *Longest = nullptr;
  const auto Consider = [&Longest](const WorkItem &Item) {
    if (!Longest || isLonger(Item, *Longest))
      Longest = &Item;
  };
  for (Block &Each : Blocks) {
    updateMargin(Each, Pace.Speed);
    if (Each.Margin >= Begin + Before) {
      Before += static_cast<double>(Each.Work.Value);
      Consider(Each.Items[Each.Longest]);
      continue;
    }
    for (const WorkItem &Item : Each.Items) {
      Consider(Item);
      const double Latest =
          Pace.Speed * static_cast<double>(Item.LatestStart.Value);
      if (Latest < Begin + Before)
        return *Longest;
      Before += static_cast<double>(Item.Work.Value);
    }
  }
  return std::nullopt;
}

std::optional<WorkItem> WorkList::longest() const {
  const WorkItem *Longest = nullptr;
  for (const Block &Each : Blocks)
    if (!Longest || isLonger(Each.Items[Each.Longest], *Longest))
      Longest = &Each.Items[Each.Longest];
  return Longest ? std::optional(*Longest) : std::nullopt;
}

} // namespace fescuewood
