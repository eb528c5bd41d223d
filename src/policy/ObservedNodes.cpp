#include "policy/ObservedNodes.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// Time for which a node and a count stay in effect after they were last
/// observed; longer than a partition usually lasts.
constexpr DurationMs NodeMemory{20 * 1000};

} // namespace

bool ObservedNodes::set(std::span<const Instance> Instances, TimeMs Now) {
  for (auto &[Name, At] : ForgetAt)
    At = std::min(At, Now + NodeMemory);
  std::size_t Count = 0;
  bool Changed = false;
  for (const Instance &Each : Instances) {
    if (Each.State == TargetState::Draining && !Each.NodeStays) {
      Changed |= ForgetAt.erase(Each.Name) > 0;
      continue;
    }
    Changed |= ForgetAt.insert_or_assign(Each.Name, Never).second;
    ++Count;
  }
  while (!Counts.empty() && Counts.back().second <= Count)
    Counts.pop_back();
  Counts.emplace_back(Now, Count);
  return forgetDeparted(Now) || Changed;
}

bool ObservedNodes::forgetDeparted(TimeMs Now) {
  return std::erase_if(ForgetAt, [Now](const auto &Item) {
           return Item.second <= Now;
         }) > 0;
}

std::size_t ObservedNodes::count(TimeMs Now) {
  // The newest count never expires.
  while (Counts.size() > 1 && Counts[1].first + NodeMemory <= Now)
    Counts.pop_front();
  return lastCount();
}

std::size_t ObservedNodes::lastCount() const {
  return Counts.empty() ? 1 : std::max<std::size_t>(1, Counts.front().second);
}

std::vector<std::string_view> ObservedNodes::names() const {
  std::vector<std::string_view> Result;
  for (const auto &[Name, At] : ForgetAt)
    Result.emplace_back(Name);
  return Result;
}

} // namespace fescuewood
