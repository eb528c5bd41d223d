#include "policy/TargetList.h"

#include <algorithm>
#include <set>
#include <utility>

namespace fescuewood {

namespace {

/// Whether \p Candidate represents an instance rather than \p Current.
bool hasPrecedence(const ListedInstance &Candidate,
                   const ListedInstance &Current) {
  if (Candidate.AssumedUntil.has_value() != Current.AssumedUntil.has_value())
    return !Candidate.AssumedUntil;
  const bool StartsKnown = Candidate.StartedAtMs > 0 && Current.StartedAtMs > 0;
  if (StartsKnown && Candidate.StartedAtMs != Current.StartedAtMs)
    return Candidate.StartedAtMs > Current.StartedAtMs;
  if (Candidate.State != Current.State)
    return Candidate.State == ListedState::Live;
  return Candidate.Revision > Current.Revision;
}

} // namespace

void TargetList::put(ListedInstance Entry) {
  if (isHeldBack(Entry)) {
    HeldBack[Entry.TargetId] = std::move(Entry);
    return;
  }
  HeldBack.erase(Entry.TargetId);
  Removed.erase(Entry.TargetId);
  ListedInstance &Stored = Entries[Entry.TargetId];
  if (Stored == Entry)
    return;
  Stored = std::move(Entry);
  Changed = true;
}

/// Whether an entry is that of the copy although its target has left since.
bool TargetList::isHeldBack(const ListedInstance &Entry) const {
  const bool IsOfCopy = HoldUntil > TimeMs(0) && Entry.Revision <= CopyRevision;
  if (!IsOfCopy || Entry.State != ListedState::Live)
    return false;
  const auto Gone = Removed.find(Entry.TargetId);
  if (Gone != Removed.end())
    return Gone->second.StartedAtMs == Entry.StartedAtMs;
  const auto Known = Entries.find(Entry.TargetId);
  return Known != Entries.end() &&
         Known->second.State == ListedState::Leaving &&
         Known->second.StartedAtMs == Entry.StartedAtMs;
}

void TargetList::onRemoved(const ListedInstance &Entry, TimeMs Now) {
  std::erase_if(Removed, [Now](const auto &Item) {
    return Now - Item.second.At >= RemovalMemory;
  });
  Removed[Entry.TargetId] = {Entry.StartedAtMs, Now};
}

void TargetList::remove(std::string_view Id, TimeMs Now) {
  if (const auto Held = HeldBack.find(Id); Held != HeldBack.end())
    HeldBack.erase(Held);
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
  std::erase_if(HeldBack, [&ListedIds](const auto &Item) {
    return !ListedIds.contains(Item.first);
  });
  std::vector<std::string> Missing;
  for (const auto &[Id, Entry] : Entries)
    if (!ListedIds.contains(Id))
      Missing.push_back(Id);
  for (const std::string &Id : Missing)
    removeOrRetain(Id, Now);
}

void TargetList::onStoreRestored(std::uint64_t Revision, TimeMs Now) {
  RestoredUntil = Now + RewriteTime;
  if (RetainUntil != Never)
    setRetention(RetainUntil);
  CopyRevision = Revision;
  HoldUntil = Now + CopyHoldTime;
}

void TargetList::onStoreLost(TimeMs Now) {
  expire(Now);
  if (RetainUntil != Never)
    EndBeforeLoss = RetainUntil;
  setRetention(Never);
}

void TargetList::onCallAnswered(TimeMs SentAt, TimeMs Now) {
  if (SentAt - LastAnswerAt >= MinLapseTime)
    setRetention(LastFailedAt + RetentionTime);
  else if (RetainUntil == Never)
    setRetention(EndBeforeLoss);
  LastAnswerAt = Now;
}

void TargetList::onRelayed(TimeMs ProvenAt, TimeMs Now) {
  // The other node called as often as this one would have, in vain.
  if (ProvenAt - LastAnswerAt >= MinLapseTime)
    LastFailedAt = std::max(LastFailedAt, ProvenAt - MaxRetryPeriod);
  onCallAnswered(ProvenAt, Now);
}

/// Sets the end of the retention, also for the entries that are retained now.
void TargetList::setRetention(TimeMs End) {
  End = std::max(End, RestoredUntil);
  RetainUntil = End;
  for (auto &[Id, Entry] : Entries) {
    if (!Entry.AssumedUntil || Entry.AssumedUntil == End)
      continue;
    Entry.AssumedUntil = End;
    Changed = true;
  }
}

void TargetList::expire(TimeMs Now) {
  const std::size_t Expired = std::erase_if(Entries, [&](const auto &Item) {
    const std::optional<TimeMs> &Until = Item.second.AssumedUntil;
    const bool IsOver = Until && *Until <= Now;
    if (IsOver)
      onRemoved(Item.second, Now);
    return IsOver;
  });
  Changed = Changed || Expired > 0;
  if (Now >= HoldUntil)
    releaseHeldBack();
}

/// Takes the entries of the copy that the store still has.
void TargetList::releaseHeldBack() {
  HoldUntil = TimeMs(0);
  for (auto &[Id, Entry] : std::exchange(HeldBack, {}))
    put(Entry);
}

TimeMs TargetList::nextExpiry() const {
  TimeMs Next = HeldBack.empty() ? Never : HoldUntil;
  for (const auto &[Id, Entry] : Entries)
    Next = std::min(Next, Entry.AssumedUntil.value_or(Never));
  return Next;
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

void TargetList::removeOrRetain(const std::string &Id, TimeMs Now) {
  if (Now >= RetainUntil) {
    onRemoved(Entries[Id], Now);
    Entries.erase(Id);
    Changed = true;
    return;
  }
  ListedInstance &Entry = Entries[Id];
  Changed = Changed || Entry.AssumedUntil != RetainUntil;
  Entry.AssumedUntil = RetainUntil;
}

} // namespace fescuewood
