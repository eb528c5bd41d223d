#include "sources/ReadLoop.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// How often a node that is not a reader checks whether it has become one.
constexpr DurationMs ReaderCheckPeriod{500};

/// Minimum time between two reads of the list of instances.
constexpr DurationMs MinInstancesPeriod{2000};

/// Minimum time between the starts of two reads, even when the allowance
/// permits more. Prevents a busy loop against a platform that answers watches
/// at once.
constexpr DurationMs MinReadPeriod{100};

/// Bounds of the exponential backoff after failed reads. The upper bound lets a
/// recovered source be found well within the 15 s in which a version has to be
/// in force.
constexpr Backoff Retry{DurationMs(500), DurationMs(5000)};

} // namespace

ReadLoop::ReadLoop(PlatformSource Source, const PlatformSettings &Settings,
                   PlatformReaderHooks Hooks, Clock Time, std::uint64_t Seed)
    : Source(std::move(Source)), Settings(Settings), Hooks(std::move(Hooks)),
      Time(std::move(Time)), Random(Seed),
      Allowance(Settings.FleetReadsPerSecond, Settings.FleetNodes,
                this->Time.now()),
      Health(this->Hooks.OnSourceState, this->Hooks.OnEvent) {
  // Spreads the first reads of nodes that start together over one window. The
  // jitter is added to the earliest time that the allowance permits; jitter
  // that ended before that time would have no effect, and all nodes would read
  // at once.
  NextAttempt =
      Allowance.nextRead(this->Time.now()) + jitter(Allowance.window(), Random);
}

DurationMs ReadLoop::step() {
  if (!isReader())
    return ReaderCheckPeriod;
  const TimeMs Now = Time.now();
  const TimeMs ReadTime = std::max(NextAttempt, Allowance.nextRead(Now));
  if (ReadTime > Now)
    return ReadTime - Now;
  if (!Allowance.take(Now))
    return Allowance.window();
  ++Reads;
  NextAttempt = Now + MinReadPeriod;
  // After a start the list is read first: a node that knows the other instances
  // may find that it is not a reader and need not read the intent.
  if (Now >= NextInstancesRead)
    readInstances();
  else
    readIntent();
  return DurationMs(0);
}

PlatformReaderCounts ReadLoop::counts() const {
  return {Reads.load(), Health.totalFailures(), Stale.load(), 0, 0};
}

bool ReadLoop::isReader() const { return !Hooks.IsReader || Hooks.IsReader(); }

void ReadLoop::readIntent() {
  const Version KnownVersion = knownVersion();
  PlatformRead<IntentBundle> Read =
      Source.ReadIntent(KnownVersion, Settings.WatchWait);
  if (Read.Reason != ResultCode::Ok)
    return onFailure(Read.Reason, Read.Detail);
  Health.onSuccess();
  if (Read.Value)
    onIntent(std::move(*Read.Value), KnownVersion);
}

/// The version that a watch starts from. Of two contents under one revision
/// this is the one that the source returned last, even if the node rejected it:
/// otherwise the source would answer every watch at once.
Version ReadLoop::knownVersion() const {
  const Version NewestSeenVersion =
      Hooks.NewestSeenVersion ? Hooks.NewestSeenVersion() : Version();
  return NewestSeenVersion.Revision > LastReadVersion.Revision
             ? NewestSeenVersion
             : LastReadVersion;
}

void ReadLoop::readInstances() {
  NextInstancesRead = Time.now() + MinInstancesPeriod;
  PlatformRead<InstanceList> Read = Source.ReadInstances(LastInstancesRevision);
  if (Read.Reason != ResultCode::Ok)
    return onFailure(Read.Reason, Read.Detail);
  Health.onSuccess();
  if (Read.Value)
    onInstances(std::move(*Read.Value));
}

void ReadLoop::onIntent(IntentBundle Bundle, const Version &KnownVersion) {
  const Version Received = Bundle.version();
  if (Received.Revision < KnownVersion.Revision || Received == KnownVersion) {
    ++Stale;
    return emit(EventId::PlatformAnsweredStale,
                {{"version", std::to_string(Received.Revision)},
                 {"reason", "version " + std::to_string(KnownVersion.Revision) +
                                " is already known"}});
  }
  LastReadVersion = Received;
  emit(EventId::PlatformVersionRead,
       {{"version", std::to_string(Bundle.Revision)}});
  if (Hooks.OnBundle)
    Hooks.OnBundle(std::move(Bundle));
}

void ReadLoop::onInstances(InstanceList List) {
  if (List.Revision <= LastInstancesRevision) {
    ++Stale;
    return emit(EventId::PlatformAnsweredStale,
                {{"reason", "list of instances"}});
  }
  LastInstancesRevision = List.Revision;
  if (List.SkippedRows > 0)
    emit(EventId::PlatformRowsLeftOut,
         {{"reason",
           std::to_string(List.SkippedRows) + " malformed or repeated rows"}});
  if (Hooks.OnInstances)
    Hooks.OnInstances(std::move(List));
}

void ReadLoop::onFailure(ResultCode Reason, const std::string &Detail) {
  if (Reason == ResultCode::Stopped)
    return;
  const DurationMs Pause =
      jitter(Retry.bound(Health.consecutiveFailures()), Random);
  NextAttempt = Allowance.nextRead(Time.now()) + Pause;
  Health.onFailure(Reason, Detail);
}

void ReadLoop::emit(EventId Id, std::vector<EventField> Fields) const {
  if (Hooks.OnEvent)
    Hooks.OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
