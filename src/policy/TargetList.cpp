#include "policy/TargetList.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Whether \p Candidate speaks for an instance rather than \p Present.
bool outranks(const ListedInstance &Candidate, const ListedInstance &Present) {
  if (Candidate.State != Present.State)
    return Candidate.State == ListedState::Live;
  return Candidate.Revision > Present.Revision;
}

} // namespace

void TargetList::put(ListedInstance Entry) {
  const std::string Id = Entry.TargetId;
  Vanished.erase(Id);
  ListedInstance &Kept = Entries[Id];
  if (Kept == Entry)
    return;
  Kept = std::move(Entry);
  Changed = true;
}

void TargetList::remove(std::string_view Id, TimeMs Now) {
  const auto Found = Entries.find(Id);
  if (Found != Entries.end())
    vanish(Found->first, Now);
}

void TargetList::replaceAll(std::vector<ListedInstance> All, TimeMs Now) {
  std::set<std::string, std::less<>> Named;
  for (ListedInstance &Each : All) {
    Named.insert(Each.TargetId);
    put(std::move(Each));
  }
  std::vector<std::string> Missing;
  for (const auto &[Id, Entry] : Entries)
    if (!Named.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    vanish(Id, Now);
}

void TargetList::onStoreLost() {
  Lost = true;
  KeepUntil.reset();
}

void TargetList::onStoreRecovered(TimeMs Now) {
  if (!std::exchange(Lost, false))
    return;
  KeepUntil = Now + RelistTime;
}

void TargetList::expire(TimeMs Now) {
  if (aroundOutage(Now))
    return;
  for (const std::string &Id : Vanished)
    Entries.erase(Id);
  Changed = Changed || !Vanished.empty();
  Vanished.clear();
}

TimeMs TargetList::nextExpiry() const {
  return Vanished.empty() || !KeepUntil ? Never : *KeepUntil;
}

InstanceList TargetList::list(std::uint64_t Revision) const {
  std::map<std::string_view, const ListedInstance *> ByName;
  for (const auto &[Id, Entry] : Entries) {
    const ListedInstance *&Speaker = ByName[Entry.Name];
    if (!Speaker || outranks(Entry, *Speaker))
      Speaker = &Entry;
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
    if (!Best || outranks(Entry, *Best))
      Best = &Entry;
  }
  return Best ? std::optional(*Best) : std::nullopt;
}

bool TargetList::takeChanged() { return std::exchange(Changed, false); }

bool TargetList::aroundOutage(TimeMs Now) const {
  return Lost || (KeepUntil && Now < *KeepUntil);
}

void TargetList::vanish(const std::string &Id, TimeMs Now) {
  if (aroundOutage(Now)) {
    Vanished.insert(Id);
    return;
  }
  Vanished.erase(Id);
  if (Entries.erase(Id) > 0)
    Changed = true;
}

} // namespace fescuewood
