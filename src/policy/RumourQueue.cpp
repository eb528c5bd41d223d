#include "policy/RumourQueue.h"

#include <algorithm>
#include <bit>

namespace fescuewood {

namespace {

constexpr int ExtraTransmissions = 2;

/// What one receiver that knew the record takes off its count.
constexpr int KnownPenalty = 3;

} // namespace

void RumourQueue::add(std::string_view Name, bool Urgent, std::size_t Fleet) {
  const bool Known = Waiting.find(Name) != Waiting.end();
  if (!Urgent && !Known && Waiting.size() >= MaxPendingRumours)
    return;
  const int Times = static_cast<int>(std::bit_width(Fleet));
  Waiting[std::string(Name)] = {Urgent, Times + ExtraTransmissions};
}

std::vector<std::string> RumourQueue::take(std::size_t Most) {
  using Item = std::pair<const std::string, Rumour>;
  std::vector<Item *> Order;
  for (Item &I : Waiting)
    Order.push_back(&I);
  const std::size_t Count = std::min(Most, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), [](const Item *Left, const Item *Right) {
                      if (Left->second.Urgent != Right->second.Urgent)
                        return Left->second.Urgent;
                      return Left->second.Left > Right->second.Left;
                    });
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Count; ++I)
    Names.push_back(Order[I]->first);
  for (const std::string &Name : Names) {
    const auto Found = Waiting.find(Name);
    if (--Found->second.Left <= 0)
      Waiting.erase(Found);
  }
  return Names;
}

void RumourQueue::onKnown(std::string_view Name) {
  const auto Found = Waiting.find(Name);
  if (Found == Waiting.end())
    return;
  Found->second.Left -= KnownPenalty;
  if (Found->second.Left <= 0)
    Waiting.erase(Found);
}

std::size_t RumourQueue::urgent() const {
  return static_cast<std::size_t>(
      std::count_if(Waiting.begin(), Waiting.end(),
                    [](const auto &Item) { return Item.second.Urgent; }));
}

void RumourQueue::remove(std::string_view Name) {
  const auto Found = Waiting.find(Name);
  if (Found != Waiting.end())
    Waiting.erase(Found);
}

} // namespace fescuewood
