/// \file
/// Scheduler that replicates a key-value store: reads it once, then watches it.
///
/// Every node watches the store itself. The owner calls \ref StoreLoop::step
/// repeatedly and waits between two steps for the duration that it returns; a
/// step makes at most one call. Each answer of the store also proves that the
/// intent of this node was current when the call was sent.

#ifndef FESCUEWOOD_SOURCES_STORELOOP_H
#define FESCUEWOOD_SOURCES_STORELOOP_H

#include "core/Event.h"
#include "policy/TargetList.h"
#include "sources/ReadLoop.h"
#include "sources/SourceHealth.h"
#include "sources/StoreBundle.h"
#include "sources/StoreChange.h"

#include <atomic>
#include <functional>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuewood {

/// Hooks that report to the rest of the process, called on the reader's thread.
/// Any may be empty.
struct StoreLoopHooks {
  /// Called when the operators' intent has changed.
  std::function<void(IntentBundle)> OnBundle;
  /// Called when the list of instances has changed.
  std::function<void(InstanceList)> OnInstances;
  /// Called when the entry of this node's own target has changed; std::nullopt
  /// when the store has none.
  std::function<void(std::optional<ListedInstance>)> OnOwnTarget;
  /// Called when the store has proved that the intent of this revision was
  /// current at time \p At.
  std::function<void(TimeMs At, std::uint64_t Revision)> OnProof;
  /// Called when the store becomes unreachable (false) or reachable again
  /// (true).
  std::function<void(bool Reachable)> OnSourceState;
  EventHook OnEvent;
};

/// The target that this node serves.
struct OwnTarget {
  std::string Address; ///< "IP:port".
  std::string Service;
};

/// Minimum time between the starts of two watches that applies without a bound
/// on the age of changes.
inline constexpr DurationMs MinWatchPeriod{200};

/// When a store is watched.
struct WatchTiming {
  /// Longest wait of a watch. It bounds the age of the proof, since an
  /// unchanged store answers only after this time.
  DurationMs Wait;
  /// Time between the starts of two watches, at least. Changes that arrive
  /// faster are read together.
  DurationMs Period = MinWatchPeriod;
};

/// The longest period between two watches with which a change is known early
/// enough to be in force within \p ApplyBound; \ref MinWatchPeriod without a
/// bound.
DurationMs watchPeriod(DurationMs ApplyBound);

/// Replicates one store. Not thread-safe, except for \ref counts.
class StoreLoop {
public:
  StoreLoop(StoreCalls Calls, OwnTarget LocalTarget, WatchTiming Timing,
            StoreLoopHooks Hooks, Clock Time, std::uint64_t Seed);

  /// Makes at most one call and returns the time until the next step.
  DurationMs step();

  /// Callable from any thread.
  PlatformReaderCounts counts() const;

private:
  /// The phases after a start or a lost history, in this order. Targets come
  /// first: their entries are small, and a target that leaves must get no more
  /// requests. After an outage they are read again before the watch, which may
  /// return several large configurations.
  enum class Phase : std::uint8_t { ReadTargets, ReadIntent, Watch };

  DurationMs untilNextStep(TimeMs Now) const;
  void readPage(StoreSubject Subject);
  void onRangeRead();
  void onTargetsRead(const StorePage &Range);
  void onIntentRead(const StorePage &Range);
  void watch();
  bool isNew(const StoreChange &Change) const;
  static bool isBehind(const StoreChanges &Read, DurationMs Took);
  void reportConfigurations(const StoreChanges &Read, TimeMs SentAt);
  void apply(StoreChange Change);
  void applyTarget(const StoreChange &Change);
  std::optional<ListedInstance> decodeTarget(const StoreChange &Entry);
  void reportLeftOut();
  void publish();
  void restart();
  void onSuccess(TimeMs SentAt);
  void reportProof(TimeMs SentAt);
  void onFailure(TimeMs SentAt, ResultCode Reason, const std::string &Detail);
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;

  StoreCalls Calls;
  OwnTarget LocalTarget;
  WatchTiming Timing;
  StoreLoopHooks Hooks;
  Clock Time;
  std::mt19937_64 Random;
  Phase NextPhase = Phase::ReadTargets;
  std::optional<StorePage> PartialRange; ///< Pages of the current range.
  TimeMs RangeSentAt;         ///< When the first of these pages was requested.
  std::uint64_t Revision = 0; ///< The watch returns the changes after it.
  /// Revisions at which the targets and the intent were last read as a whole.
  std::uint64_t TargetsReadAt = 0;
  std::uint64_t IntentReadAt = 0; ///< 0 until the intent has been read.
  StoreBundle Intent;
  /// Whether the newest configuration could not be read; an older one is used.
  bool ConfigurationUnread = false;
  std::size_t LeftOut = 0; ///< Items left out and not yet reported.
  bool IntentChanged = false;
  std::uint64_t IntentRevision = 0;
  TargetList Targets;
  std::optional<std::optional<ListedInstance>> ReportedTarget;
  TimeMs NextCall;
  SourceHealth Health;
  std::atomic<std::uint64_t> Reads = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STORELOOP_H
