/// \file
/// Scheduler that replicates a key-value store: reads it once, then watches it,
/// itself or through another node that does.
///
/// The owner calls \ref StoreLoop::step repeatedly and waits between two steps
/// for the duration that it returns. Each answer of the store also proves that
/// the intent of this node was current when the call was sent, and that proof
/// is relayed with its age.

#ifndef FESCUEWOOD_SOURCES_STORELOOP_H
#define FESCUEWOOD_SOURCES_STORELOOP_H

#include "core/Event.h"
#include "policy/ReadPaths.h"
#include "sources/ReadLoop.h"
#include "sources/SourceHealth.h"
#include "sources/StoreChange.h"
#include "sources/StoreLoopHooks.h"
#include "sources/StoreView.h"

#include <atomic>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace fescuewood {

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

  /// Age from which the proof of a relay is too old, so that this node reads
  /// the store itself: a proof is as old as a watch when it arrives, and the
  /// next one takes as long again.
  DurationMs maxRelayedAge() const { return Wait * 2 + DurationMs(400); }
};

/// Longest wait of a read through a relay. Shorter than the silence after which
/// a connection between nodes is checked with a message of its own.
inline constexpr DurationMs RelayWait{350};

/// Minimum time between two reads through relays.
inline constexpr DurationMs MinRelayPeriod{50};

/// The longest period between two watches with which a change is known early
/// enough to be in force within \p ApplyBound; \ref MinWatchPeriod without a
/// bound.
DurationMs watchPeriod(DurationMs ApplyBound);

/// Replicates one store. Not thread-safe, except for \ref counts.
class StoreLoop {
public:
  StoreLoop(StoreCalls Calls, OwnTarget LocalTarget, WatchTiming Timing,
            StoreLoopHooks Hooks, Clock Time, std::uint64_t Seed,
            RelayCalls Relays = {});
  StoreLoop(const StoreLoop &) = delete;
  StoreLoop &operator=(const StoreLoop &) = delete;

  /// Makes at most one call to the store and one to another node, and returns
  /// the time until the next step.
  DurationMs step();

  /// Callable from any thread.
  PlatformReaderCounts counts() const;

private:
  /// The phases after a start or a lost history, in this order. Targets come
  /// first: their entries are small, and a target that leaves must get no more
  /// requests. After an outage they are read again before the watch, which may
  /// return several large configurations.
  enum class Phase : std::uint8_t { ReadTargets, ReadIntent, Watch };

  /// The configurations in one answer.
  struct ConfigurationCount {
    std::size_t Count = 0;
    std::size_t Bytes = 0;  ///< Of the whole answer.
    std::uint64_t Last = 0; ///< Revision of the last one.
  };

  DurationMs untilNextStep(TimeMs Now) const;
  std::optional<std::string> nextRelay(TimeMs Now);
  void readStore();
  void readPage(StoreSubject Subject);
  void onRangeRead();
  void onTargetsRead(StorePage Range);
  void onIntentRead(StorePage Range);
  void watch();
  DurationMs watchWait(TimeMs Now) const;
  void onWatchFailed(TimeMs SentAt, const PlatformRead<StoreChanges> &Read);
  void onHistoryLost(ResultCode Reason, const std::string &Detail);
  void onWatched(TimeMs SentAt, StoreChanges Read);
  static ConfigurationCount countConfigurations(const StoreChanges &Read);
  void reportConfigurations(const ConfigurationCount &Found,
                            DurationMs Took) const;
  bool readRelay(const std::string &Address, DurationMs Wait);
  bool isUsable(const RelayedChanges &Relayed, TimeMs Now) const;
  void onRelayed(RelayedChanges Relayed);
  void restart();
  void onSuccess(TimeMs SentAt);
  void onFailure(TimeMs SentAt, ResultCode Reason, const std::string &Detail);
  void reportProof(TimeMs ProvenAt);
  void replicate(ReplicaUpdate::Extent Kind, StoreChanges Read,
                 std::optional<TimeMs> ProvenAt) const;
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;

  StoreCalls Calls;
  RelayCalls Relays;
  WatchTiming Timing;
  const StoreLoopHooks Hooks;
  Clock Time;
  std::mt19937_64 Random;
  StoreView View;
  ReadPaths Paths;
  Phase NextPhase = Phase::ReadTargets;
  std::optional<StorePage> PartialRange; ///< Pages of the current range.
  TimeMs RangeSentAt; ///< When the first of these pages was requested.
  /// Targets that were read before the intent of the same full reading.
  std::vector<StoreChange> TargetItems;
  TimeMs ProvenAt{0}; ///< Of the newest proof.
  TimeMs NextCall;
  SourceHealth Health;
  std::atomic<std::uint64_t> Reads = 0;
  std::atomic<std::uint64_t> RelayedReads = 0;
  std::atomic<std::uint64_t> RelayFailures = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STORELOOP_H
