#include "sources/StoreReplica.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace fescuewood {

void StoreReplica::update(const ReplicaUpdate &Update) {
  const StoreChanges &Read = Update.Read;
  switch (Update.Kind) {
  case ReplicaUpdate::Extent::Changes:
    break;
  case ReplicaUpdate::Extent::AllTargets:
    removeMissing(Read, [](const StoreChange &Item) {
      return Item.Subject == StoreSubject::Target;
    });
    break;
  case ReplicaUpdate::Extent::AllItems:
    removeMissing(Read, [](const StoreChange &) { return true; });
    if (empty())
      CompleteSince = Read.Revision;
    break;
  }
  for (const StoreChange &Item : Read.Changes)
    put(Item);
  // A reading of the targets alone does not bring the other changes.
  if (Update.Kind != ReplicaUpdate::Extent::AllTargets)
    Revision = std::max(Revision, Read.Revision);
  forgetOldRemovals();
}

std::optional<StoreChanges>
StoreReplica::changesAfter(std::uint64_t After) const {
  if (empty() || After < CompleteSince)
    return std::nullopt;
  StoreChanges Result;
  Result.Revision = Revision;
  for (const auto &[Key, Item] : Items)
    if (Item.Revision > After)
      Result.Changes.push_back(Item);
  return Result;
}

StoreChanges StoreReplica::whole() const {
  StoreChanges Result;
  Result.Revision = Revision;
  for (const auto &[Key, Item] : Items)
    if (!Item.Removed)
      Result.Changes.push_back(Item);
  return Result;
}

/// Stores an item unless a later state of it is known.
void StoreReplica::put(const StoreChange &Item) {
  if (Item.Subject == StoreSubject::Other)
    return;
  StoreChange &Stored = Items[Item.Key];
  const bool IsFirst = Stored.Key.empty();
  if (!IsFirst && Stored.Revision > Item.Revision)
    return;
  if (!IsFirst && Stored.Removed)
    --RemovedCount;
  Stored = Item;
  if (Stored.Removed)
    ++RemovedCount;
}

/// Marks the items that a full reading no longer holds as removed at its
/// revision.
void StoreReplica::removeMissing(
    const StoreChanges &Read,
    const std::function<bool(const StoreChange &)> &Concerns) {
  std::set<std::string_view> Present;
  for (const StoreChange &Item : Read.Changes)
    Present.insert(Item.Key);
  for (auto &[Key, Item] : Items) {
    if (Item.Removed || Present.contains(Key) || !Concerns(Item) ||
        Item.Revision > Read.Revision)
      continue;
    Item.Removed = true;
    Item.Unreadable = false;
    Item.Value.clear();
    Item.Revision = Read.Revision;
    ++RemovedCount;
  }
}

void StoreReplica::forgetOldRemovals() {
  if (RemovedCount <= MaxRemovedItems)
    return;
  std::vector<std::uint64_t> Removals;
  for (const auto &[Key, Item] : Items)
    if (Item.Removed)
      Removals.push_back(Item.Revision);
  // Half of them, so that this does not happen at each removal.
  const auto Middle =
      Removals.begin() + static_cast<std::ptrdiff_t>(Removals.size() / 2);
  std::nth_element(Removals.begin(), Middle, Removals.end());
  CompleteSince = std::max(CompleteSince, *Middle);
  RemovedCount -= std::erase_if(Items, [this](const auto &Item) {
    return Item.second.Removed && Item.second.Revision <= CompleteSince;
  });
}

} // namespace fescuewood
