#include "policy/RumourQueue.h"

#include <algorithm>
#include <bit>

namespace fescuewood {

namespace {

/// Sends in addition to the logarithm of the fleet size.
constexpr int ExtraTransmissions = 2;

/// Sends deducted for each receiver that already knew the record.
constexpr int KnownPenalty = 3;

} // namespace

void RumourQueue::add(std::string_view Name, bool Urgent,
                      std::size_t FleetSize) {
  const bool Known = Entries.find(Name) != Entries.end();
  if (!Urgent && !Known && Entries.size() >= MaxPendingRumours)
    return;
  const int BaseTransmissions = static_cast<int>(std::bit_width(FleetSize));
  Entries[std::string(Name)] = {Urgent, BaseTransmissions + ExtraTransmissions};
}

std::vector<std::string> RumourQueue::take(std::size_t MaxCount) {
  using Item = std::pair<const std::string, Rumour>;
  std::vector<Item *> Order;
  for (Item &I : Entries)
    Order.push_back(&I);
  const std::size_t Count = std::min(MaxCount, Order.size());
  std::partial_sort(Order.begin(),
                    Order.begin() + static_cast<std::ptrdiff_t>(Count),
                    Order.end(), [](const Item *Left, const Item *Right) {
                      if (Left->second.Urgent != Right->second.Urgent)
                        return Left->second.Urgent;
                      return Left->second.SendsLeft > Right->second.SendsLeft;
                    });
  std::vector<std::string> Names;
  for (std::size_t I = 0; I < Count; ++I)
    Names.push_back(Order[I]->first);
  for (const std::string &Name : Names) {
    const auto Found = Entries.find(Name);
    if (--Found->second.SendsLeft <= 0)
      Entries.erase(Found);
  }
  return Names;
}

void RumourQueue::onKnown(std::string_view Name) {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return;
  Found->second.SendsLeft -= KnownPenalty;
  if (Found->second.SendsLeft <= 0)
    Entries.erase(Found);
}

std::size_t RumourQueue::urgent() const {
  return static_cast<std::size_t>(
      std::count_if(Entries.begin(), Entries.end(),
                    [](const auto &Item) { return Item.second.Urgent; }));
}

void RumourQueue::remove(std::string_view Name) {
  const auto Found = Entries.find(Name);
  if (Found != Entries.end())
    Entries.erase(Found);
}

} // namespace fescuewood
