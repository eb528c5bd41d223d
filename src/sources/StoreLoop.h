/// \file
/// Follows a store of keys and values: reads it once, then watches it.
///
/// Every node follows the store itself. The owner calls \ref StoreLoop::step
/// and waits for as long as it says; a step makes at most one call. Each answer
/// of the store also proves that what this node knows was the newest when the
/// call was sent.

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

/// What the loop tells the rest of the process; on the reader's thread.
struct StoreLoopHooks {
  /// The operators' intent has changed.
  std::function<void(IntentBundle)> OnBundle;
  /// The list of instances has changed.
  std::function<void(InstanceList)> OnInstances;
  /// What the store says of the target beside this node; nothing when it lists
  /// none.
  std::function<void(std::optional<ListedInstance>)> OnOwnTarget;
  /// The intent under this revision was the newest at this time.
  std::function<void(TimeMs At, std::uint64_t Revision)> OnProof;
  std::function<void(bool Reachable)> OnSourceState;
  EventHook OnEvent;
};

/// Which target stands beside this node.
struct OwnTarget {
  std::string Address; ///< "IP:port".
  std::string Service;
};

/// The steps of following a store. Owned by one thread, but for \ref counts.
class StoreLoop {
public:
  /// \param WatchWait bounds the age of the proof: the next one comes after it.
  StoreLoop(StoreCalls Calls, OwnTarget Own, DurationMs WatchWait,
            StoreLoopHooks Hooks, Clock Time, std::uint64_t Seed);

  /// Makes at most one call and returns the time until the next step.
  DurationMs step();

  /// From any thread.
  PlatformReaderCounts counts() const;

private:
  /// What is read when nothing is known yet, in this order.
  enum class Phase : std::uint8_t { ReadIntent, ReadTargets, Watch };

  void readPage(StoreSubject Subject);
  void endOfPages(TimeMs AskedAt);
  void watch();
  void apply(StoreChange Change);
  void applyTarget(const StoreChange &Change);
  void publish();
  void startOver();
  void succeeded();
  void prove(TimeMs AskedAt);
  void failed(ResultCode Reason, const std::string &Detail);
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;

  StoreCalls Calls;
  OwnTarget Own;
  DurationMs WatchWait;
  StoreLoopHooks Hooks;
  Clock Time;
  std::mt19937_64 Random;
  Phase Next = Phase::ReadIntent;
  std::optional<StorePage> Pages; ///< Of the range that is under way.
  std::uint64_t Revision = 0;     ///< All changes up to it are applied.
  StoreBundle Intent;
  bool IntentChanged = false;
  std::uint64_t IntentRevision = 0;
  TargetList Targets;
  std::optional<std::optional<ListedInstance>> ToldOwn;
  TimeMs NextCall;
  SourceHealth Health;
  std::atomic<std::uint64_t> Reads = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STORELOOP_H
