#include "sources/ReadLoop.h"

#include "policy/Backoff.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// How often a node that is no reader asks whether it has become one.
constexpr DurationMs ReaderCheckPeriod{500};

/// Least time between two reads of the list of instances.
constexpr DurationMs InstancesPeriod{2000};

/// Least time between the starts of two reads, also where the allowance has
/// room: a platform that answers watches at once is not asked in a tight loop.
constexpr DurationMs MinReadPeriod{100};

/// Bounds of the exponential backoff after failed reads. The greater one is
/// short enough to find a source that is back well within the 15 s in which a
/// version has to be in force.
constexpr Backoff Retry{DurationMs(500), DurationMs(5000)};

} // namespace

ReadLoop::ReadLoop(PlatformSource Source, const PlatformSettings &Settings,
                   PlatformReaderHooks Hooks, Clock Time, std::uint64_t Seed)
    : Source(std::move(Source)), Settings(Settings), Hooks(std::move(Hooks)),
      Time(std::move(Time)), Random(Seed),
      Allowance(Settings.FleetReadsPerSecond, Settings.FleetNodes,
                this->Time.now()),
      Health(this->Hooks.OnSourceState, this->Hooks.OnEvent) {
  // A fleet that starts at once spreads its first reads over a window. Jitter
  // is added to the earliest time that the allowance gives; within the wait for
  // it, it would be lost and all would read together.
  NextAttempt =
      Allowance.nextRead(this->Time.now()) + jitter(Allowance.window(), Random);
}

DurationMs ReadLoop::step() {
  if (!isReader())
    return ReaderCheckPeriod;
  const TimeMs Now = Time.now();
  const TimeMs Due = std::max(NextAttempt, Allowance.nextRead(Now));
  if (Due > Now)
    return Due - Now;
  if (!Allowance.take(Now))
    return Allowance.window();
  ++Reads;
  NextAttempt = Now + MinReadPeriod;
  // The list comes first after a start: a node that sees the others learns that
  // it need not read the intent at all.
  if (Now >= NextInstances)
    readInstances();
  else
    readIntent();
  return DurationMs(0);
}

PlatformReaderCounts ReadLoop::counts() const {
  return {Reads.load(), Health.failures(), Stale.load()};
}

bool ReadLoop::isReader() const { return !Hooks.IsReader || Hooks.IsReader(); }

void ReadLoop::readIntent() {
  const Version Known = known();
  PlatformRead<IntentBundle> Read =
      Source.ReadIntent(Known, Settings.WatchWait);
  if (Read.Reason != ResultCode::Ok)
    return failed(Read.Reason, Read.Detail);
  Health.succeeded();
  if (Read.Value)
    judge(std::move(*Read.Value), Known);
}

/// What the source is asked beyond. Of two contents under one revision it is
/// the one that the source has shown, whether or not the node keeps it:
/// otherwise the source would answer every watch at once.
Version ReadLoop::known() const {
  const Version Held =
      Hooks.NewestSeenVersion ? Hooks.NewestSeenVersion() : Version();
  return Held.Revision > SeenIntent.Revision ? Held : SeenIntent;
}

void ReadLoop::readInstances() {
  NextInstances = Time.now() + InstancesPeriod;
  PlatformRead<InstanceList> Read = Source.ReadInstances(SeenInstances);
  if (Read.Reason != ResultCode::Ok)
    return failed(Read.Reason, Read.Detail);
  Health.succeeded();
  if (Read.Value)
    judge(std::move(*Read.Value));
}

void ReadLoop::judge(IntentBundle Bundle, const Version &Known) {
  const Version Shown = Bundle.version();
  if (Shown.Revision < Known.Revision || Shown == Known) {
    ++Stale;
    return emit(EventId::PlatformAnsweredStale,
                {{"version", std::to_string(Shown.Revision)},
                 {"reason",
                  "at least " + std::to_string(Known.Revision) + " is known"}});
  }
  SeenIntent = Shown;
  emit(EventId::PlatformVersionRead,
       {{"version", std::to_string(Bundle.Revision)}});
  if (Hooks.OnBundle)
    Hooks.OnBundle(std::move(Bundle));
}

void ReadLoop::judge(InstanceList List) {
  if (List.Revision <= SeenInstances) {
    ++Stale;
    return emit(EventId::PlatformAnsweredStale,
                {{"reason", "list of instances"}});
  }
  SeenInstances = List.Revision;
  if (List.SkippedRows > 0)
    emit(EventId::PlatformRowsLeftOut,
         {{"reason", std::to_string(List.SkippedRows) + " rows"}});
  if (Hooks.OnInstances)
    Hooks.OnInstances(std::move(List));
}

void ReadLoop::failed(ResultCode Reason, const std::string &Detail) {
  if (Reason == ResultCode::Stopped)
    return;
  const DurationMs Pause = jitter(Retry.bound(Health.failuresInARow()), Random);
  NextAttempt = Allowance.nextRead(Time.now()) + Pause;
  Health.failed(Reason, Detail);
}

void ReadLoop::emit(EventId Id, std::vector<EventField> Fields) const {
  if (Hooks.OnEvent)
    Hooks.OnEvent({Id, std::move(Fields)});
}

} // namespace fescuewood
