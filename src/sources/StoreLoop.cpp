#include "sources/StoreLoop.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Least time between the starts of two watches. Changes that come faster are
/// read together, far within the seconds in which a version must be in force.
constexpr DurationMs MinWatchPeriod{200};

/// Bounds of the exponential backoff after failed calls. The greater one keeps
/// a store that is back from being found later than a withdrawn key allows.
constexpr Backoff Retry{DurationMs(100), DurationMs(800)};

} // namespace

StoreLoop::StoreLoop(StoreCalls Calls, OwnTarget Own, DurationMs WatchWait,
                     StoreLoopHooks Hooks, Clock Time, std::uint64_t Seed)
    : Calls(std::move(Calls)), Own(std::move(Own)), WatchWait(WatchWait),
      Hooks(std::move(Hooks)), Time(std::move(Time)), Random(Seed),
      Health(this->Hooks.OnSourceState, this->Hooks.OnEvent) {}

DurationMs StoreLoop::step() {
  const TimeMs Now = Time.now();
  Targets.expire(Now);
  publish();
  if (Now < NextCall)
    return std::min(NextCall, Targets.nextExpiry()) - Now;
  ++Reads;
  switch (Next) {
  case Phase::ReadIntent:
    readPage(StoreSubject::Configuration);
    break;
  case Phase::ReadTargets:
    readPage(StoreSubject::Target);
    break;
  case Phase::Watch:
    watch();
    break;
  }
  publish();
  return std::max(DurationMs(0), NextCall - Time.now());
}

PlatformReaderCounts StoreLoop::counts() const {
  return {Reads.load(), Health.failures(), 0};
}

void StoreLoop::readPage(StoreSubject Subject) {
  const TimeMs AskedAt = Time.now();
  const std::string After =
      Pages && !Pages->Items.empty() ? Pages->Items.back().Key : "";
  PlatformRead<StorePage> Read = Calls.Range(Subject, After);
  if (!Read.Value)
    return failed(Read.Reason, Read.Detail);
  if (!Pages) {
    Pages = std::move(*Read.Value);
  } else {
    Pages->HasMore = Read.Value->HasMore && !Read.Value->Items.empty();
    std::move(Read.Value->Items.begin(), Read.Value->Items.end(),
              std::back_inserter(Pages->Items));
  }
  if (!Pages->HasMore)
    endOfPages(AskedAt);
}

/// All pages of a range are in. What changed meanwhile follows by the watch,
/// which starts at the revision of the very first page.
void StoreLoop::endOfPages(TimeMs AskedAt) {
  const StorePage Whole = std::move(*std::exchange(Pages, std::nullopt));
  if (Next == Phase::ReadIntent) {
    Intent = {};
    Revision = Whole.Revision;
    IntentRevision = Whole.Revision;
    IntentChanged = true;
    for (const StoreChange &Each : Whole.Items)
      apply(Each);
    IntentRevision = Whole.Revision;
    Next = Phase::ReadTargets;
    succeeded();
    publish();
    prove(AskedAt);
    return;
  }
  std::vector<ListedInstance> Listed;
  for (const StoreChange &Each : Whole.Items) {
    if (Each.Subject != StoreSubject::Target)
      continue;
    if (auto Row = Calls.DecodeTarget(Each.Name, Each.Value)) {
      Row->Revision = Each.Revision;
      Listed.push_back(std::move(*Row));
    }
  }
  succeeded();
  Targets.replaceAll(std::move(Listed), Time.now());
  Next = Phase::Watch;
}

void StoreLoop::watch() {
  const TimeMs AskedAt = Time.now();
  PlatformRead<StoreChanges> Read = Calls.Watch(Revision, WatchWait);
  if (Read.Reason == ResultCode::StoreHistoryGone) {
    emit(EventId::StoreHistoryLost, {{"version", std::to_string(Revision)}});
    startOver();
    return;
  }
  if (!Read.Value)
    return failed(Read.Reason, Read.Detail);
  for (StoreChange &Each : Read.Value->Changes)
    apply(std::move(Each));
  Revision = std::max(Revision, Read.Value->Revision);
  succeeded();
  publish();
  prove(AskedAt);
  NextCall = AskedAt + MinWatchPeriod;
}

void StoreLoop::apply(StoreChange Change) {
  switch (Change.Subject) {
  case StoreSubject::Configuration:
    Intent.Configuration = std::move(Change.Value);
    break;
  case StoreSubject::DomainOut:
    if (Change.Removed)
      Intent.DomainsOut.erase(Change.Name);
    else
      Intent.DomainsOut.insert(Change.Name);
    break;
  case StoreSubject::Target:
    return applyTarget(Change);
  case StoreSubject::Other:
    return;
  }
  IntentRevision = std::max(IntentRevision, Change.Revision);
  IntentChanged = true;
}

void StoreLoop::applyTarget(const StoreChange &Change) {
  const TimeMs Now = Time.now();
  auto Row = Change.Removed ? std::nullopt
                            : Calls.DecodeTarget(Change.Name, Change.Value);
  if (!Row)
    return Targets.remove(Change.Name, Now);
  Row->Revision = Change.Revision;
  Targets.put(std::move(*Row));
}

/// Tells what has changed, once the targets have been read too.
void StoreLoop::publish() {
  if (IntentChanged && !Intent.Configuration.empty()) {
    IntentChanged = false;
    if (Hooks.OnBundle)
      Hooks.OnBundle(encodeStoreBundle(Intent, IntentRevision));
  }
  if (Next != Phase::Watch)
    return;
  if (Targets.takeChanged() && Hooks.OnInstances)
    Hooks.OnInstances(Targets.list(Revision));
  auto Present = Targets.find(Own.Address, Own.Service);
  if (ToldOwn && *ToldOwn == Present)
    return;
  ToldOwn = Present;
  if (Hooks.OnOwnTarget)
    Hooks.OnOwnTarget(std::move(Present));
}

void StoreLoop::startOver() {
  Next = Phase::ReadIntent;
  Pages.reset();
  NextCall = TimeMs(0);
}

/// Told after the intent itself, which was the newest when the call was sent.
void StoreLoop::prove(TimeMs AskedAt) {
  if (Hooks.OnProof && !Intent.Configuration.empty())
    Hooks.OnProof(AskedAt, IntentRevision);
}

void StoreLoop::succeeded() {
  if (Health.succeeded())
    Targets.onStoreRecovered(Time.now());
}

void StoreLoop::failed(ResultCode Reason, const std::string &Detail) {
  if (Reason == ResultCode::Stopped)
    return;
  NextCall = Time.now() + jitter(Retry.bound(Health.failuresInARow()), Random);
  if (Health.failed(Reason, Detail))
    Targets.onStoreLost();
}

void StoreLoop::emit(EventId Id, std::vector<EventField> Fields) const {
  if (Hooks.OnEvent)
    Hooks.OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
