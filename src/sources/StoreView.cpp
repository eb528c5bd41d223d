#include "sources/StoreView.h"

#include "sources/StoreRevision.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Time after a restore in which operators write again what the copy lacks.
constexpr DurationMs SettleTime{3000};

// Revisions of one reading of the intent, in the order in which they replace
// each other: as it was read by a node that knew nothing before, with the
// domains that the copy lacks, and without them once the store has settled.
constexpr std::uint64_t HeldStep = 1;
constexpr std::uint64_t SettledStep = 2;

} // namespace

StoreView::StoreView(OwnTarget LocalTarget, const StoreLoopHooks &Hooks,
                     DecodeTargetHook DecodeTarget,
                     NumberHook ConfigurationNumber)
    : LocalTarget(std::move(LocalTarget)), Hooks(Hooks),
      DecodeTarget(std::move(DecodeTarget)),
      ConfigurationNumber(std::move(ConfigurationNumber)) {}

/// Handles the first answer of an epoch, before it is applied.
void StoreView::followEpoch(std::uint64_t Read, TimeMs Now) {
  const std::uint64_t New = storeEpoch(Read);
  if (Epoch && New <= *Epoch)
    return;
  const auto Before = std::exchange(Epoch, New);
  // A node that starts cannot know how long ago the last restore was.
  if (New > FirstEpoch)
    SettlesAt = Now + SettleTime;
  if (!Before)
    return;
  CopyRevision = Read;
  DomainsHeld.insert(Intent.DomainsOut.begin(), Intent.DomainsOut.end());
  Targets.onStoreRestored(Read, Now);
  if (!Hooks.OnEvent)
    return;
  Hooks.OnEvent({EventId::StoreRestored,
                 {{"epoch", std::to_string(New)},
                  {"version", std::to_string(storeRevision(Read))},
                  {"before", std::to_string(storeRevision(Revision))}}});
}

void StoreView::expire(TimeMs Now) {
  Targets.expire(Now);
  if (DomainsHeld.empty() || Now < SettlesAt)
    return;
  DomainsHeld.clear();
  SettledRevision = IntentRevision;
  IntentChanged = true;
}

TimeMs StoreView::nextExpiry() const {
  const TimeMs Next = Targets.nextExpiry();
  return DomainsHeld.empty() ? Next : std::min(Next, SettlesAt);
}

void StoreView::onTargetsRead(const StorePage &Range, TimeMs Now) {
  followEpoch(Range.Revision, Now);
  std::vector<ListedInstance> Listed;
  for (const StoreChange &Item : Range.Items) {
    if (Item.Subject != StoreSubject::Target)
      continue;
    if (auto Row = decodeTarget(Item))
      Listed.push_back(std::move(*Row));
  }
  Targets.replaceAll(std::move(Listed), Now);
  TargetsReadAt = Range.Revision;
  if (!hasIntent())
    Revision = Range.Revision;
}

void StoreView::onIntentRead(const StorePage &Range, TimeMs Now) {
  followEpoch(Range.Revision, Now);
  Intent.DomainsOut.clear();
  // A reading without a configuration does not end the one in force.
  ConfigurationUnread = true;
  ConfigurationOutdated = false;
  IntentChanged = true;
  for (const StoreChange &Item : Range.Items)
    if (Item.Subject != StoreSubject::Target)
      applyItem(Item, Now);
  IntentRevision = Range.Revision;
  IntentReadAt = Range.Revision;
}

StoreChanges StoreView::apply(StoreChanges Read, TimeMs Now) {
  followEpoch(Read.Revision, Now);
  LeftOut += Read.Unreadable;
  std::erase_if(Read.Changes,
                [this](const StoreChange &Change) { return !isNew(Change); });
  for (const StoreChange &Change : Read.Changes)
    applyItem(Change, Now);
  Revision = std::max(Revision, Read.Revision);
  return Read;
}

void StoreView::replaceAll(const StoreChanges &Whole, TimeMs Now) {
  const StorePage Items{Whole.Changes, false, Whole.Revision};
  onTargetsRead(Items, Now);
  onIntentRead(Items, Now);
  Revision = Whole.Revision;
}

/// Whether a change was made after its kind was last read as a whole.
bool StoreView::isNew(const StoreChange &Change) const {
  return Change.Revision > (Change.Subject == StoreSubject::Target
                                ? TargetsReadAt
                                : IntentReadAt);
}

void StoreView::applyItem(const StoreChange &Change, TimeMs Now) {
  switch (Change.Subject) {
  case StoreSubject::Configuration:
    applyConfiguration(Change);
    // Changes of domains still apply to the configuration before.
    if (ConfigurationUnread || ConfigurationOutdated)
      return;
    break;
  case StoreSubject::DomainOut:
    // A relay reports what a copy lacks as removed.
    if (!Change.Removed || Change.Revision > CopyRevision)
      DomainsHeld.erase(Change.Name);
    if (Change.Removed)
      Intent.DomainsOut.erase(Change.Name);
    else
      Intent.DomainsOut.insert(Change.Name);
    break;
  case StoreSubject::Target:
    return applyTarget(Change, Now);
  case StoreSubject::Other:
    return;
  }
  IntentRevision = std::max(IntentRevision, Change.Revision);
  IntentChanged = true;
}

/// Takes a configuration, but not an older one than was read before the store
/// was restored. Within an epoch the order of the store holds.
void StoreView::applyConfiguration(const StoreChange &Change) {
  // What cannot be read, or is missing from a copy, ends nothing.
  ConfigurationUnread = Change.Unreadable || Change.Removed;
  if (ConfigurationUnread)
    return;
  const std::uint64_t Number =
      ConfigurationNumber ? ConfigurationNumber(Change.Value) : 0;
  const bool IsOlder = Number > 0 && Number < IntentNumber;
  ConfigurationOutdated = IsOlder && storeEpoch(Change.Revision) > NumberEpoch;
  if (IsOlder && Hooks.OnEvent) {
    Hooks.OnEvent({EventId::ConfigurationOutdated,
                   {{"version", std::to_string(Number)},
                    {"in_force", std::to_string(IntentNumber)}}});
  }
  if (ConfigurationOutdated)
    return;
  Intent.Configuration = Change.Value;
  NumberEpoch = storeEpoch(Change.Revision);
  // One without a number counts as another state of the one before.
  IntentNumber = Number > 0 ? Number : IntentNumber;
}

void StoreView::applyTarget(const StoreChange &Change, TimeMs Now) {
  auto Row = Change.Removed ? std::nullopt : decodeTarget(Change);
  if (!Row)
    return Targets.remove(Change.Name, Now);
  Targets.put(std::move(*Row));
}

/// Decodes the entry of a target, and counts one that names no usable target.
std::optional<ListedInstance>
StoreView::decodeTarget(const StoreChange &Entry) {
  if (Entry.Unreadable)
    return std::nullopt;
  auto Row = DecodeTarget(Entry.Name, Entry.Value);
  if (Row)
    Row->Revision = Entry.Revision;
  else
    ++LeftOut;
  return Row;
}

void StoreView::publish() {
  reportLeftOut();
  publishIntent();
  if (TargetsReadAt == 0)
    return;
  if (Targets.takeChanged() && Hooks.OnInstances)
    Hooks.OnInstances(Targets.list(std::max(Revision, TargetsReadAt)));
  publishOwnTarget();
}

/// Reports the items that were left out since the last report.
void StoreView::reportLeftOut() {
  const std::size_t Count = std::exchange(LeftOut, 0);
  if (Count == 0 || !Hooks.OnEvent)
    return;
  Hooks.OnEvent(
      {EventId::PlatformRowsLeftOut,
       {{"reason", std::to_string(Count) +
                       " items of the store that cannot be read or name no "
                       "usable target"}}});
}

void StoreView::publishIntent() {
  if (!IntentChanged || Intent.Configuration.empty())
    return;
  IntentChanged = false;
  if (!Hooks.OnBundle)
    return;
  StoreBundle Parts = Intent;
  Parts.DomainsOut.insert(DomainsHeld.begin(), DomainsHeld.end());
  Hooks.OnBundle(encodeStoreBundle(Parts, bundleRevision(), IntentNumber));
}

/// Revision under which the intent is reported.
std::uint64_t StoreView::bundleRevision() const {
  if (!DomainsHeld.empty())
    return IntentRevision | HeldStep;
  return IntentRevision == SettledRevision ? IntentRevision | SettledStep
                                           : IntentRevision;
}

void StoreView::publishOwnTarget() {
  auto Listed = Targets.find(LocalTarget.Address, LocalTarget.Service);
  if (ReportedTarget && *ReportedTarget == Listed)
    return;
  ReportedTarget = Listed;
  if (Hooks.OnOwnTarget)
    Hooks.OnOwnTarget(std::move(Listed));
}

void StoreView::reportProof(TimeMs ProvenAt) const {
  const bool IsKnown = !Intent.Configuration.empty() && !ConfigurationUnread &&
                       !ConfigurationOutdated;
  if (Hooks.OnProof && IsKnown && ProvenAt >= SettlesAt)
    Hooks.OnProof(ProvenAt, IntentRevision, IntentNumber);
}

} // namespace fescuewood
