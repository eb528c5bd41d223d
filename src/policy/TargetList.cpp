#include "policy/TargetList.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Whether \p Candidate represents an instance rather than \p Current.
bool hasPrecedence(const ListedInstance &Candidate,
                   const ListedInstance &Current) {
  if (Candidate.State != Current.State)
    return Candidate.State == ListedState::Live;
  return Candidate.Revision > Current.Revision;
}

} // namespace

void TargetList::put(ListedInstance Entry) {
  const std::string Id = Entry.TargetId;
  Retained.erase(Id);
  ListedInstance &Stored = Entries[Id];
  if (Stored == Entry)
    return;
  Stored = std::move(Entry);
  Changed = true;
}

void TargetList::remove(std::string_view Id, TimeMs Now) {
  const auto Found = Entries.find(Id);
  if (Found != Entries.end())
    removeOrRetain(Found->first, Now);
}

void TargetList::replaceAll(std::vector<ListedInstance> All, TimeMs Now) {
  std::set<std::string, std::less<>> ListedIds;
  for (ListedInstance &Each : All) {
    ListedIds.insert(Each.TargetId);
    put(std::move(Each));
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Entry] : Entries)
    if (!ListedIds.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    removeOrRetain(Id, Now);
}

void TargetList::onStoreLost() {
  StoreLost = true;
  RetainUntil.reset();
}

void TargetList::onStoreRecovered(TimeMs Now) {
  if (!std::exchange(StoreLost, false))
    return;
  RetainUntil = Now + RelistTime;
}

void TargetList::expire(TimeMs Now) {
  if (isRetaining(Now))
    return;
  for (const std::string &Id : Retained)
    Entries.erase(Id);
  Changed = Changed || !Retained.empty();
  Retained.clear();
}

TimeMs TargetList::nextExpiry() const {
  return Retained.empty() || !RetainUntil ? Never : *RetainUntil;
}

InstanceList TargetList::list(std::uint64_t Revision) const {
  std::map<std::string_view, const ListedInstance *> ByName;
  for (const auto &[Id, Entry] : Entries) {
    const ListedInstance *&Preferred = ByName[Entry.Name];
    if (!Preferred || hasPrecedence(Entry, *Preferred))
      Preferred = &Entry;
  }
  InstanceList Result;
  Result.Revision = Revision;
  Result.Complete = true;
  for (const auto &[Name, Entry] : ByName)
    Result.Instances.push_back(*Entry);
  return Result;
}

std::optional<ListedInstance> TargetList::find(std::string_view Address,
                                               std::string_view Service) const {
  const ListedInstance *Best = nullptr;
  for (const auto &[Id, Entry] : Entries) {
    if (Entry.TargetAddress != Address || Entry.Service != Service)
      continue;
    if (!Best || hasPrecedence(Entry, *Best))
      Best = &Entry;
  }
  return Best ? std::optional(*Best) : std::nullopt;
}

bool TargetList::takeChanged() { return std::exchange(Changed, false); }

bool TargetList::isRetaining(TimeMs Now) const {
  return StoreLost || (RetainUntil && Now < *RetainUntil);
}

void TargetList::removeOrRetain(const std::string &Id, TimeMs Now) {
  if (isRetaining(Now)) {
    Retained.insert(Id);
    return;
  }
  Retained.erase(Id);
  if (Entries.erase(Id) > 0)
    Changed = true;
}

} // namespace fescuewood
