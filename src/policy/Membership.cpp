#include "policy/Membership.h"

#include "core/Digest.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

bool isPresent(const MemberRecord &Record) {
  return Record.Order.Health < MemberHealth::Dead;
}

/// Whether a record must reach callers at once because the member takes no more
/// work. A dead member is not urgent: callers detect the missing answers
/// themselves, and many members die at once when a failure domain is cut off.
bool isUrgent(const MemberRecord &Record) {
  if (Record.Order.Health == MemberHealth::Left)
    return true;
  return isPresent(Record) && effectiveState(Record) >= TargetState::Draining;
}

} // namespace

TargetState effectiveState(const MemberRecord &Record) {
  const bool Leaving =
      Record.Place.State != TargetState::Draining && Record.isListedAsLeaving();
  if (Leaving && Record.Order.Health != MemberHealth::Left)
    return TargetState::Draining;
  if (Record.Order.Health >= MemberHealth::Dead)
    return TargetState::Down;
  return Record.Place.State;
}

Membership::Membership(MembershipSettings Settings, const Instance &Self,
                       std::uint64_t Incarnation, TimeMs Now)
    : Settings(Settings), OwnName(Self.Name), StartedAt(Now) {
  Member &Entry = *add(Self, Now);
  update(
      Entry,
      [Incarnation](MemberRecord &R) { R.Order.Incarnation = Incarnation; },
      Now);
}

Member *Membership::add(const Instance &Place, TimeMs Now) {
  if (Table.size() >= Settings.MaxMembers)
    return nullptr;
  Member &Entry = Table[Place.Name];
  Entry.Record.Place = Place;
  Entry.HealthChangedAt = Now;
  Entry.Bucket = bucketOf(Place.Name);
  toggleDigest(Entry.Record);
  InstancesChanged = true;
  return &Entry;
}

/// Adds a record to the digest of its bucket, or removes it (XOR).
void Membership::toggleDigest(const MemberRecord &Record) {
  if (isPresent(Record))
    Buckets[bucketOf(Record.Place.Name)] ^=
        static_cast<std::uint16_t>(Record.hash());
}

void Membership::update(Member &Entry, const Change &Apply, TimeMs Now) {
  MemberRecord &Record = Entry.Record;
  const MemberHealth OldHealth = Record.Order.Health;
  const Instance OldPlace = Record.Place;
  const TargetState OldState = effectiveState(Record);
  const bool WasLeaving = Record.Listing.Leaving;
  toggleDigest(Record);
  Apply(Record);
  toggleDigest(Record);
  if (Record.Order.Health != OldHealth)
    Entry.HealthChangedAt = Now;
  const bool StateChanged = effectiveState(Record) != OldState;
  if (StateChanged || Record.Place != OldPlace ||
      Record.Order.Health == MemberHealth::Left)
    InstancesChanged = true;
  if (StateChanged && isUrgent(Record))
    UrgentChangePending = true;
  if (Record.Listing.Leaving && !WasLeaving)
    NewlyLeaving.push_back(Record.Place.Name);
  // The local record is the one least likely to be known elsewhere.
  const bool Prioritised = isUrgent(Record) || Record.Place.Name == OwnName;
  Rumours.add(Record.Place.Name, Prioritised, Table.size());
}

void Membership::updateSelf(const Change &Apply, TimeMs Now) {
  Member &Entry = Table.at(OwnName);
  if (Entry.Record.Order.Health != MemberHealth::Left)
    update(Entry, Apply, Now);
}

void Membership::setOwnState(TargetState State, TimeMs Now) {
  if (self().Place.State == State)
    return;
  updateSelf(
      [State](MemberRecord &R) {
        R.Place.State = State;
        ++R.Order.Sequence;
      },
      Now);
}

void Membership::leave(TimeMs Now) {
  updateSelf(
      [](MemberRecord &R) {
        R.Place.State = TargetState::Draining;
        R.Order.Health = MemberHealth::Left;
        ++R.Order.Sequence;
      },
      Now);
}

void Membership::announceSelf() { Rumours.add(OwnName, true, Table.size()); }

void Membership::onContact(std::string_view Name, TimeMs Now) {
  const auto Found = Table.find(Name);
  if (Found != Table.end())
    Found->second.LastContactAt = Now;
}

bool Membership::onUnreachable(std::string_view Name, TimeMs Now) {
  const auto Found = Table.find(Name);
  if (Found == Table.end() || Name == OwnName ||
      Found->second.Record.Order.Health != MemberHealth::Alive)
    return false;
  update(
      Found->second,
      [](MemberRecord &R) { R.Order.Health = MemberHealth::Suspect; }, Now);
  return true;
}

bool Membership::merge(const MemberRecord &Record, Propagation Mode,
                       TimeMs Now) {
  if (Record.Place.Name == OwnName) {
    mergeSelf(Record, Now);
    return true;
  }
  auto Found = Table.find(Record.Place.Name);
  if (Found == Table.end()) {
    // Members that are already dead or left are not added.
    if (!isPresent(Record) || add(Record.Place, Now) == nullptr)
      return false;
    Found = Table.find(Record.Place.Name);
    update(
        Found->second, [&](MemberRecord &R) { R = Record; }, Now);
  } else {
    MemberRecord Merged = Found->second.Record;
    if (!mergeRecord(Merged, Record))
      return false;
    update(
        Found->second, [&](MemberRecord &R) { R = Merged; }, Now);
  }
  if (Mode == Propagation::LocalOnly)
    Rumours.remove(Record.Place.Name);
  return true;
}

/// Merges a record about the local member and refutes a wrong health.
void Membership::mergeSelf(const MemberRecord &Record, TimeMs Now) {
  const MemberOrder Local = self().Order;
  if (Record.Listing > self().Listing)
    updateSelf([&](MemberRecord &R) { R.Listing = Record.Listing; }, Now);
  if (Record.Order <= Local || Local.Health == MemberHealth::Left)
    return;
  // A larger incarnation comes either from an earlier process whose clock was
  // ahead or from a newer process that replaced this one. Only a process that
  // has just started claims the name by exceeding that incarnation.
  if (Record.Order.Incarnation > Local.Incarnation &&
      Now - StartedAt > Settings.TakeoverWindow) {
    NewerProcessSeen = true;
    return;
  }
  ++Refutations;
  updateSelf(
      [&](MemberRecord &R) {
        R.Order.Incarnation = Record.Order.Incarnation;
        R.Order.Sequence = Record.Order.Sequence + 1;
      },
      Now);
}

void Membership::onListed(std::span<const ListedMember> List,
                          std::uint64_t Revision, bool Complete, TimeMs Now) {
  std::set<std::string, std::less<>> PresentNames;
  for (const ListedMember &Row : List) {
    PresentNames.insert(Row.Place.Name);
    auto Found = Table.find(Row.Place.Name);
    if (Found == Table.end()) {
      if (add(Row.Place, Now) == nullptr)
        return;
      Found = Table.find(Row.Place.Name);
      Rumours.add(Row.Place.Name, false, Table.size());
    }
    setListing(Found->second, Row.ReadAt.value_or(Revision), Row.Leaving, Now);
  }
  if (!Complete)
    return;
  for (const std::string &Name : ListedNames) {
    const auto Found = Table.find(Name);
    if (!PresentNames.contains(Name) && Found != Table.end())
      setListing(Found->second, Revision, true, Now);
  }
  ListedNames = std::move(PresentNames);
}

void Membership::setListing(Member &Entry, std::uint64_t Revision, bool Leaving,
                            TimeMs Now) {
  const MemberListing &Known = Entry.Record.Listing;
  if (Known.Leaving == Leaving || Revision <= Known.ListRevision)
    return;
  update(
      Entry,
      [&](MemberRecord &R) {
        R.Listing = {Revision, Leaving, R.Order.Incarnation};
      },
      Now);
}

void Membership::expire(TimeMs Now) {
  for (auto It = Table.begin(); It != Table.end();) {
    Member &Entry = It->second;
    if (It->first != OwnName && isExpired(Entry, Now)) {
      if (Entry.Record.Order.Health == MemberHealth::Suspect) {
        update(
            Entry, [](MemberRecord &R) { R.Order.Health = MemberHealth::Dead; },
            Now);
      } else {
        toggleDigest(Entry.Record);
        Rumours.remove(It->first);
        It = Table.erase(It);
        InstancesChanged = true;
        continue;
      }
    }
    ++It;
  }
}

bool Membership::isExpired(const Member &Entry, TimeMs Now) const {
  const DurationMs Elapsed = Now - Entry.HealthChangedAt;
  switch (Entry.Record.Order.Health) {
  case MemberHealth::Alive:
    return false;
  case MemberHealth::Suspect:
    return Elapsed >= Settings.SuspectTimeout;
  case MemberHealth::Dead:
    return Elapsed >= Settings.DeadRetention;
  case MemberHealth::Left:
    return Elapsed >= Settings.LeftRetention;
  }
  return false;
}

std::vector<MemberRecord> Membership::takeRumours(std::size_t MaxCount) {
  std::vector<MemberRecord> Result;
  for (const std::string &Name : Rumours.take(MaxCount))
    if (const Member *Entry = find(Name))
      Result.push_back(Entry->Record);
  return Result;
}

void Membership::onRumoursKnown(std::span<const MemberRecord> Sent,
                                std::uint32_t Known) {
  for (std::size_t I = 0; I < Sent.size() && I < 32; ++I) {
    const Member *Entry = find(Sent[I].Place.Name);
    // A record that changed after it was sent is new to the receiver.
    if (((Known >> I) & 1U) != 0 && Entry != nullptr &&
        Entry->Record.Order == Sent[I].Order &&
        Entry->Record.Listing == Sent[I].Listing)
      Rumours.onKnown(Sent[I].Place.Name);
  }
}

bool Membership::takeUrgentChange() {
  return std::exchange(UrgentChangePending, false);
}

std::vector<std::string> Membership::takeNewlyLeaving() {
  return std::exchange(NewlyLeaving, {});
}

bool Membership::takeInstancesChanged() {
  return std::exchange(InstancesChanged, false);
}

const Member *Membership::find(std::string_view Name) const {
  const auto Found = Table.find(Name);
  return Found == Table.end() ? nullptr : &Found->second;
}

std::vector<Instance> Membership::instances() const {
  std::vector<Instance> Result;
  Result.reserve(Table.size());
  for (const auto &[Name, Entry] : Table) {
    if (Entry.Record.Order.Health == MemberHealth::Left)
      continue;
    Instance Seen = Entry.Record.Place;
    Seen.State = effectiveState(Entry.Record);
    Seen.NodeStays = Seen.State == TargetState::Draining &&
                     Entry.Record.Place.State != TargetState::Draining;
    Result.push_back(std::move(Seen));
  }
  return Result;
}

std::set<std::uint32_t> Membership::slotsInUse(std::string_view Domain,
                                               TimeMs Now) const {
  std::set<std::uint32_t> Result;
  for (const auto &[Name, Entry] : Table) {
    const MemberRecord &R = Entry.Record;
    const bool Gone = R.Order.Health == MemberHealth::Dead &&
                      Now - Entry.HealthChangedAt >= Settings.VacancyTime;
    const bool HasRun = R.Order.Incarnation > 0;
    if (R.Place.Domain == Domain && HasRun && !Gone)
      Result.insert(R.Place.Slot);
  }
  return Result;
}

bool Membership::hasContactWithin(DurationMs Span, TimeMs Now) const {
  return std::any_of(Table.begin(), Table.end(), [&](const auto &Item) {
    const auto &LastContactAt = Item.second.LastContactAt;
    return LastContactAt && Now - *LastContactAt <= Span;
  });
}

std::uint64_t Membership::digest() const {
  std::uint64_t Sum = 0;
  for (std::uint16_t Bucket : Buckets)
    Sum = Sum * 0x100000001b3ULL + Bucket;
  return Sum;
}

std::vector<const MemberRecord *>
Membership::differingRecords(const BucketDigests &PeerDigests) const {
  std::vector<const MemberRecord *> Result;
  for (const auto &[Name, Entry] : Table)
    if (Buckets[Entry.Bucket] != PeerDigests[Entry.Bucket])
      Result.push_back(&Entry.Record);
  return Result;
}

std::size_t Membership::bucketOf(std::string_view Name) {
  return stableHash(Name) % MemberBuckets;
}

} // namespace fescuewood
