#include "sources/StoreView.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

StoreView::StoreView(OwnTarget LocalTarget, const StoreLoopHooks &Hooks,
                     DecodeTargetHook DecodeTarget)
    : LocalTarget(std::move(LocalTarget)), Hooks(Hooks),
      DecodeTarget(std::move(DecodeTarget)) {}

void StoreView::onTargetsRead(const StorePage &Range, TimeMs Now) {
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

void StoreView::onIntentRead(const StorePage &Range) {
  Intent = {};
  ConfigurationUnread = false;
  IntentChanged = true;
  for (const StoreChange &Item : Range.Items)
    if (Item.Subject != StoreSubject::Target)
      applyItem(Item, TimeMs(0));
  IntentRevision = Range.Revision;
  IntentReadAt = Range.Revision;
}

StoreChanges StoreView::apply(StoreChanges Read, TimeMs Now) {
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
  onIntentRead(Items);
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
    // Changes of domains still apply to the configuration before.
    ConfigurationUnread = Change.Unreadable;
    if (Change.Unreadable)
      return;
    Intent.Configuration = Change.Value;
    break;
  case StoreSubject::DomainOut:
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
  if (Hooks.OnBundle)
    Hooks.OnBundle(encodeStoreBundle(Intent, IntentRevision));
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
  const bool IsKnown = !Intent.Configuration.empty() && !ConfigurationUnread;
  if (Hooks.OnProof && IsKnown)
    Hooks.OnProof(ProvenAt, IntentRevision);
}

} // namespace fescuewood
