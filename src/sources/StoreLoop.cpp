#include "sources/StoreLoop.h"

#include "policy/Backoff.h"
#include "sources/StoreRevision.h"

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
                     std::uint64_t Seed, RelayCalls Relays)
    : Calls(std::move(Calls)), Relays(std::move(Relays)), Timing(Timing),
      Hooks(std::move(Hooks)), Time(std::move(Time)), Random(Seed),
      View(std::move(LocalTarget), this->Hooks, this->Calls.DecodeTarget,
           this->Calls.ConfigurationNumber),
      Health(this->Hooks.OnSourceState, this->Hooks.OnEvent) {}

DurationMs StoreLoop::step() {
  const TimeMs Now = Time.now();
  View.expire(Now);
  View.publish();
  if (Now < NextCall)
    return untilNextStep(Now);
  if (const auto Relay = nextRelay(Now)) {
    if (readRelay(*Relay, RelayWait))
      NextCall = Time.now() + MinRelayPeriod;
  } else {
    readStore();
  }
  View.publish();
  return untilNextStep(Time.now());
}

DurationMs StoreLoop::untilNextStep(TimeMs Now) const {
  return std::max(DurationMs(0), std::min(NextCall, View.nextExpiry()) - Now);
}

PlatformReaderCounts StoreLoop::counts() const {
  PlatformReaderCounts Result;
  Result.Reads = Reads.load();
  Result.Failures = Health.totalFailures();
  Result.Relayed = RelayedReads.load();
  Result.RelayFailures = RelayFailures.load();
  return Result;
}

/// The relay to read through; std::nullopt to read the store.
std::optional<std::string> StoreLoop::nextRelay(TimeMs Now) {
  if (!Relays.Read)
    return std::nullopt;
  Paths.update(Relays.IsReader(), Relays.Addresses());
  return Paths.next(Now);
}

void StoreLoop::readStore() {
  ++Reads;
  switch (NextPhase) {
  case Phase::ReadIntent:
    return readPage(StoreSubject::Configuration);
  case Phase::ReadTargets:
    return readPage(StoreSubject::Target);
  case Phase::Watch:
    return watch();
  }
}

void StoreLoop::readPage(StoreSubject Subject) {
  const TimeMs SentAt = Time.now();
  const std::string AfterKey = PartialRange && !PartialRange->Items.empty()
                                   ? PartialRange->Items.back().Key
                                   : "";
  PlatformRead<StorePage> Read = Calls.Range(Subject, AfterKey);
  if (Read.Reason == ResultCode::StoreHistoryGone)
    return onHistoryLost(Read.Reason, Read.Detail);
  if (!Read.Value)
    return onFailure(SentAt, Read.Reason, Read.Detail);
  View.countLeftOut(Read.Value->Unreadable);
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
  StorePage Range = std::move(*std::exchange(PartialRange, std::nullopt));
  onSuccess(RangeSentAt);
  if (NextPhase == Phase::ReadTargets)
    onTargetsRead(std::move(Range));
  else
    onIntentRead(std::move(Range));
}

void StoreLoop::onTargetsRead(StorePage Range) {
  View.onTargetsRead(Range, Time.now());
  if (!View.hasIntent()) {
    TargetItems = std::move(Range.Items);
    NextPhase = Phase::ReadIntent;
    return;
  }
  NextPhase = Phase::Watch;
  replicate(ReplicaUpdate::Extent::AllTargets,
            {std::move(Range.Items), Range.Revision}, std::nullopt);
}

void StoreLoop::onIntentRead(StorePage Range) {
  View.onIntentRead(Range, Time.now());
  NextPhase = Phase::Watch;
  View.publish();
  reportProof(RangeSentAt);
  std::vector<StoreChange> Items = std::exchange(TargetItems, {});
  std::move(Range.Items.begin(), Range.Items.end(), std::back_inserter(Items));
  replicate(ReplicaUpdate::Extent::AllItems,
            {std::move(Items), View.revision()}, RangeSentAt);
}

void StoreLoop::watch() {
  const TimeMs SentAt = Time.now();
  PlatformRead<StoreChanges> Read =
      Calls.Watch(View.revision(), watchWait(SentAt));
  if (Read.Value)
    onWatched(SentAt, std::move(*Read.Value));
  else
    onWatchFailed(SentAt, Read);
}

/// A watch ends in time to report entries whose retention ends, and at once if
/// the proof is old.
DurationMs StoreLoop::watchWait(TimeMs Now) const {
  if (Now - ProvenAt > Timing.maxRelayedAge())
    return DurationMs(0);
  return std::max(DurationMs(0),
                  std::min(Timing.Wait, View.nextExpiry() - Now));
}

void StoreLoop::onWatchFailed(TimeMs SentAt,
                              const PlatformRead<StoreChanges> &Read) {
  if (needsFullRead(Read.Reason))
    return onHistoryLost(Read.Reason, Read.Detail);
  onFailure(SentAt, Read.Reason, Read.Detail);
  // The same watch would return the same bytes. The store may answer every
  // watch like this, so the full read is no sooner than a watch.
  if (Read.Reason == ResultCode::PlatformMalformed) {
    restart();
    NextCall = std::max(NextCall, SentAt + Timing.Period);
  }
}

void StoreLoop::onHistoryLost(ResultCode Reason, const std::string &Detail) {
  emit(EventId::StoreHistoryLost,
       {{"version", std::to_string(View.revision())},
        {"reason", std::string(resultName(Reason)) + ": " + Detail}});
  restart();
  NextCall = TimeMs(0);
}

void StoreLoop::onWatched(TimeMs SentAt, StoreChanges Read) {
  onSuccess(SentAt);
  const TimeMs Now = Time.now();
  const ConfigurationCount Found = countConfigurations(Read);
  reportConfigurations(Found, Now - SentAt);
  StoreChanges New = View.apply(std::move(Read), Now);
  View.publish();
  reportProof(SentAt);
  replicate(ReplicaUpdate::Extent::Changes, std::move(New), SentAt);
  NextCall = SentAt + Timing.Period;
  // Configurations are made faster than this node can receive them. A full read
  // returns the targets at once and only the newest configuration.
  if (Found.Count >= 2 && Now - SentAt >= SlowAnswer) {
    restart();
    NextCall = TimeMs(0);
  }
}

StoreLoop::ConfigurationCount
StoreLoop::countConfigurations(const StoreChanges &Read) {
  ConfigurationCount Result;
  for (const StoreChange &Change : Read.Changes) {
    Result.Bytes += Change.Value.size();
    if (Change.Subject != StoreSubject::Configuration)
      continue;
    ++Result.Count;
    Result.Last = Change.Revision;
  }
  return Result;
}

/// Reports how long the watch took that returned a new configuration, and how
/// many it returned of which only the last is used.
void StoreLoop::reportConfigurations(const ConfigurationCount &Found,
                                     DurationMs Took) const {
  if (Found.Count == 0)
    return;
  emit(EventId::PlatformVersionRead,
       {{"version", std::to_string(Found.Last)},
        {"configurations", std::to_string(Found.Count)},
        {"bytes", std::to_string(Found.Bytes)},
        {"took_ms", std::to_string(Took.Value)}});
}

/// Returns whether the relay had an answer with a fresh proof.
bool StoreLoop::readRelay(const std::string &Address, DurationMs Wait) {
  const std::uint64_t After = View.hasIntent() ? View.revision() : 0;
  PlatformRead<RelayedChanges> Read = Relays.Read(Address, After, Wait);
  if (Read.Reason == ResultCode::Stopped)
    return false;
  const TimeMs Now = Time.now();
  if (Read.Value && !isUsable(*Read.Value, Now))
    Read = {std::nullopt, ResultCode::PlatformStale, "relay is behind"};
  if (!Read.Value) {
    ++RelayFailures;
    Paths.onFailed(Address, Now);
    emit(EventId::RelayAvoided,
         {{"address", Address},
          {"reason",
           std::string(resultName(Read.Reason)) + ": " + Read.Detail}});
    return false;
  }
  ++RelayedReads;
  Paths.onAnswered(Address);
  onRelayed(std::move(*Read.Value));
  return true;
}

/// Whether an answer is fresh and goes on from what this node knows.
bool StoreLoop::isUsable(const RelayedChanges &Relayed, TimeMs Now) const {
  if (Now - Relayed.ProvenAt > Timing.maxRelayedAge())
    return false;
  if (storeEpoch(Relayed.Read.Revision) < storeEpoch(View.revision()))
    return false;
  return Relayed.Whole ? Relayed.Read.Revision >= View.revision()
                       : View.hasIntent();
}

void StoreLoop::onRelayed(RelayedChanges Relayed) {
  const TimeMs Now = Time.now();
  View.targets().onRelayed(Relayed.ProvenAt, Now);
  PartialRange.reset();
  NextPhase = Phase::Watch;
  auto Kind = ReplicaUpdate::Extent::Changes;
  if (Relayed.Whole) {
    Kind = ReplicaUpdate::Extent::AllItems;
    View.replaceAll(Relayed.Read, Now);
  } else {
    Relayed.Read = View.apply(std::move(Relayed.Read), Now);
  }
  View.publish();
  reportProof(Relayed.ProvenAt);
  replicate(Kind, std::move(Relayed.Read), Relayed.ProvenAt);
}

void StoreLoop::restart() {
  NextPhase = Phase::ReadTargets;
  View.forgetIntent();
  PartialRange.reset();
}

void StoreLoop::reportProof(TimeMs At) {
  ProvenAt = std::max(ProvenAt, At);
  View.reportProof(At);
}

void StoreLoop::onSuccess(TimeMs SentAt) {
  Health.onSuccess();
  View.targets().onCallAnswered(SentAt, Time.now());
}

void StoreLoop::onFailure(TimeMs SentAt, ResultCode Reason,
                          const std::string &Detail) {
  if (Reason == ResultCode::Stopped)
    return;
  View.targets().onCallFailed(SentAt);
  const TimeMs Now = Time.now();
  const DurationMs Delay =
      jitter(Retry.bound(Health.consecutiveFailures()), Random);
  NextCall = std::max(Now, std::min(Now + Delay, SentAt + MaxRetryPeriod));
  if (Health.onFailure(Reason, Detail)) {
    View.targets().onStoreLost(Now);
    PartialRange.reset();
    NextPhase = Phase::ReadTargets;
  }
  // The store may reject this node only.
  const auto Relay = Relays.Read ? Paths.alternative(Now) : std::nullopt;
  if (Relay)
    readRelay(*Relay, DurationMs(0));
}

void StoreLoop::replicate(ReplicaUpdate::Extent Kind, StoreChanges Read,
                          std::optional<TimeMs> At) const {
  if (Hooks.OnReplicated)
    Hooks.OnReplicated({Kind, std::move(Read), At});
}

void StoreLoop::emit(EventId Id, std::vector<EventField> Fields) const {
  if (Hooks.OnEvent)
    Hooks.OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
