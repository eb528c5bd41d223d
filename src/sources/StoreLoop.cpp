#include "sources/StoreLoop.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace fescuewood {

namespace {

/// Share of the time within which a change must be in force that may pass
/// before it is read; the rest is for a slow or lost answer and for applying
/// it.
constexpr double WatchPeriodShare = 0.3;

/// Bounds of the exponential backoff after failed calls. The upper bound lets a
/// recovered store be found within the time that the withdrawal of a key may
/// take.
constexpr Backoff Retry{DurationMs(100), DurationMs(800)};

/// Time from which a watch that returned several configurations was slow: it
/// did not wait for the first of them, so the time went into their transfer.
constexpr DurationMs SlowAnswer{500};

/// Longest time between the starts of two calls while the store is
/// unreachable: how precisely the time of its return is known.
constexpr DurationMs MaxRetryPeriod{950};

/// Whether a watch that failed for \p Reason would fail again from the same
/// revision. An answer holds every change since then, each configuration whole;
/// a full read returns only the newest one.
bool needsFullRead(ResultCode Reason) {
  return Reason == ResultCode::StoreHistoryGone ||
         Reason == ResultCode::PlatformTooLarge ||
         Reason == ResultCode::PlatformSlow;
}

} // namespace

DurationMs watchPeriod(DurationMs ApplyBound) {
  const double Share = static_cast<double>(ApplyBound.Value) * WatchPeriodShare;
  return std::max(MinWatchPeriod, DurationMs(std::llround(Share)));
}

StoreLoop::StoreLoop(StoreCalls Calls, OwnTarget LocalTarget,
                     WatchTiming Timing, StoreLoopHooks Hooks, Clock Time,
                     std::uint64_t Seed)
    : Calls(std::move(Calls)), LocalTarget(std::move(LocalTarget)),
      Timing(Timing), Hooks(std::move(Hooks)), Time(std::move(Time)),
      Random(Seed), Health(this->Hooks.OnSourceState, this->Hooks.OnEvent) {}

DurationMs StoreLoop::step() {
  const TimeMs Now = Time.now();
  Targets.expire(Now);
  publish();
  if (Now < NextCall)
    return untilNextStep(Now);
  ++Reads;
  switch (NextPhase) {
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
  return untilNextStep(Time.now());
}

DurationMs StoreLoop::untilNextStep(TimeMs Now) const {
  return std::max(DurationMs(0),
                  std::min(NextCall, Targets.nextExpiry()) - Now);
}

PlatformReaderCounts StoreLoop::counts() const {
  return {Reads.load(), Health.totalFailures(), 0};
}

void StoreLoop::readPage(StoreSubject Subject) {
  const TimeMs SentAt = Time.now();
  const std::string AfterKey = PartialRange && !PartialRange->Items.empty()
                                   ? PartialRange->Items.back().Key
                                   : "";
  PlatformRead<StorePage> Read = Calls.Range(Subject, AfterKey);
  if (!Read.Value)
    return onFailure(SentAt, Read.Reason, Read.Detail);
  LeftOut += Read.Value->Unreadable;
  if (!PartialRange) {
    PartialRange = std::move(*Read.Value);
    RangeSentAt = SentAt;
  } else {
    PartialRange->HasMore = Read.Value->HasMore && !Read.Value->Items.empty();
    std::move(Read.Value->Items.begin(), Read.Value->Items.end(),
              std::back_inserter(PartialRange->Items));
  }
  if (!PartialRange->HasMore)
    onRangeRead();
}

/// Applies a range once all its pages have been read. Its revision and its time
/// are those of the first page; changes made in the meantime follow from the
/// watch.
void StoreLoop::onRangeRead() {
  const StorePage Range = std::move(*std::exchange(PartialRange, std::nullopt));
  onSuccess(RangeSentAt);
  if (NextPhase == Phase::ReadTargets)
    onTargetsRead(Range);
  else
    onIntentRead(Range);
}

void StoreLoop::onIntentRead(const StorePage &Range) {
  Intent = {};
  ConfigurationUnread = false;
  IntentChanged = true;
  for (const StoreChange &Item : Range.Items)
    apply(Item);
  IntentRevision = Range.Revision;
  IntentReadAt = Range.Revision;
  NextPhase = Phase::Watch;
  publish();
  reportProof(RangeSentAt);
}

void StoreLoop::onTargetsRead(const StorePage &Range) {
  std::vector<ListedInstance> Listed;
  for (const StoreChange &Item : Range.Items) {
    if (Item.Subject != StoreSubject::Target)
      continue;
    if (auto Row = decodeTarget(Item))
      Listed.push_back(std::move(*Row));
  }
  Targets.replaceAll(std::move(Listed), Time.now());
  TargetsReadAt = Range.Revision;
  const bool HasIntent = IntentReadAt > 0;
  if (!HasIntent)
    Revision = Range.Revision;
  NextPhase = HasIntent ? Phase::Watch : Phase::ReadIntent;
}

void StoreLoop::watch() {
  const TimeMs SentAt = Time.now();
  // Ends in time to report entries whose retention ends.
  const DurationMs Wait = std::max(
      DurationMs(0), std::min(Timing.Wait, Targets.nextExpiry() - SentAt));
  PlatformRead<StoreChanges> Read = Calls.Watch(Revision, Wait);
  if (needsFullRead(Read.Reason)) {
    emit(EventId::StoreHistoryLost,
         {{"version", std::to_string(Revision)},
          {"reason",
           std::string(resultName(Read.Reason)) + ": " + Read.Detail}});
    restart();
    NextCall = TimeMs(0);
    return;
  }
  if (!Read.Value) {
    onFailure(SentAt, Read.Reason, Read.Detail);
    // The same watch would return the same bytes. The store may answer every
    // watch like this, so the full read is no sooner than a watch.
    if (Read.Reason == ResultCode::PlatformMalformed) {
      restart();
      NextCall = std::max(NextCall, SentAt + Timing.Period);
    }
    return;
  }
  onSuccess(SentAt);
  LeftOut += Read.Value->Unreadable;
  reportConfigurations(*Read.Value, SentAt);
  for (StoreChange &Change : Read.Value->Changes)
    if (isNew(Change))
      apply(std::move(Change));
  Revision = std::max(Revision, Read.Value->Revision);
  publish();
  reportProof(SentAt);
  NextCall = SentAt + Timing.Period;
  if (isBehind(*Read.Value, Time.now() - SentAt)) {
    restart();
    NextCall = TimeMs(0);
  }
}

/// Whether configurations are made faster than this node can receive them. A
/// full read returns the targets at once and only the newest configuration.
bool StoreLoop::isBehind(const StoreChanges &Read, DurationMs Took) {
  const auto Configurations = std::count_if(
      Read.Changes.begin(), Read.Changes.end(), [](const StoreChange &Change) {
        return Change.Subject == StoreSubject::Configuration;
      });
  return Configurations >= 2 && Took >= SlowAnswer;
}

/// Whether a change was made after its kind was last read as a whole.
bool StoreLoop::isNew(const StoreChange &Change) const {
  return Change.Revision > (Change.Subject == StoreSubject::Target
                                ? TargetsReadAt
                                : IntentReadAt);
}

/// Reports how long the watch took that returned a new configuration, and how
/// many it returned of which only the last is used.
void StoreLoop::reportConfigurations(const StoreChanges &Read, TimeMs SentAt) {
  std::size_t Configurations = 0;
  std::size_t Bytes = 0;
  std::uint64_t Last = 0;
  for (const StoreChange &Change : Read.Changes) {
    Bytes += Change.Value.size();
    if (Change.Subject != StoreSubject::Configuration)
      continue;
    ++Configurations;
    Last = Change.Revision;
  }
  if (Configurations == 0)
    return;
  emit(EventId::PlatformVersionRead,
       {{"version", std::to_string(Last)},
        {"configurations", std::to_string(Configurations)},
        {"bytes", std::to_string(Bytes)},
        {"took_ms", std::to_string((Time.now() - SentAt).Value)}});
}

void StoreLoop::apply(StoreChange Change) {
  switch (Change.Subject) {
  case StoreSubject::Configuration:
    // Changes of domains still apply to the configuration before.
    ConfigurationUnread = Change.Unreadable;
    if (Change.Unreadable)
      return;
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
  auto Row = Change.Removed ? std::nullopt : decodeTarget(Change);
  if (!Row)
    return Targets.remove(Change.Name, Now);
  Targets.put(std::move(*Row));
}

/// Decodes the entry of a target, and counts one that names no usable target.
std::optional<ListedInstance>
StoreLoop::decodeTarget(const StoreChange &Entry) {
  if (Entry.Unreadable)
    return std::nullopt;
  auto Row = Calls.DecodeTarget(Entry.Name, Entry.Value);
  if (Row)
    Row->Revision = Entry.Revision;
  else
    ++LeftOut;
  return Row;
}

/// Reports the items that were left out since the last report.
void StoreLoop::reportLeftOut() {
  const std::size_t Count = std::exchange(LeftOut, 0);
  if (Count == 0)
    return;
  emit(EventId::PlatformRowsLeftOut,
       {{"reason", std::to_string(Count) + " items of the store that cannot be "
                                           "read or name no usable target"}});
}

/// Reports changes to the hooks; changes of targets only once all targets have
/// been read.
void StoreLoop::publish() {
  reportLeftOut();
  if (IntentChanged && !Intent.Configuration.empty()) {
    IntentChanged = false;
    if (Hooks.OnBundle)
      Hooks.OnBundle(encodeStoreBundle(Intent, IntentRevision));
  }
  if (TargetsReadAt == 0)
    return;
  if (Targets.takeChanged() && Hooks.OnInstances)
    Hooks.OnInstances(Targets.list(std::max(Revision, TargetsReadAt)));
  auto ListedTarget = Targets.find(LocalTarget.Address, LocalTarget.Service);
  if (ReportedTarget && *ReportedTarget == ListedTarget)
    return;
  ReportedTarget = ListedTarget;
  if (Hooks.OnOwnTarget)
    Hooks.OnOwnTarget(std::move(ListedTarget));
}

void StoreLoop::restart() {
  NextPhase = Phase::ReadTargets;
  IntentReadAt = 0;
  PartialRange.reset();
}

/// Reports that the intent was current when the call was sent. The intent
/// itself must have been reported before.
void StoreLoop::reportProof(TimeMs SentAt) {
  const bool IsKnown = !Intent.Configuration.empty() && !ConfigurationUnread;
  if (Hooks.OnProof && IsKnown)
    Hooks.OnProof(SentAt, IntentRevision);
}

void StoreLoop::onSuccess(TimeMs SentAt) {
  Health.onSuccess();
  Targets.onCallAnswered(SentAt, Time.now());
}

void StoreLoop::onFailure(TimeMs SentAt, ResultCode Reason,
                          const std::string &Detail) {
  if (Reason == ResultCode::Stopped)
    return;
  Targets.onCallFailed(SentAt);
  const TimeMs Now = Time.now();
  const DurationMs Delay =
      jitter(Retry.bound(Health.consecutiveFailures()), Random);
  NextCall = std::max(Now, std::min(Now + Delay, SentAt + MaxRetryPeriod));
  if (!Health.onFailure(Reason, Detail))
    return;
  Targets.onStoreLost(Now);
  PartialRange.reset();
  NextPhase = Phase::ReadTargets;
}

void StoreLoop::emit(EventId Id, std::vector<EventField> Fields) const {
  if (Hooks.OnEvent)
    Hooks.OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
