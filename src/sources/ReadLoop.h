/// \file
/// Scheduler for reading and watching the platform.
///
/// The owner calls \ref ReadLoop::step repeatedly and waits between two steps
/// for the duration that it returns. A step makes at most one read.

#ifndef FESCUEWOOD_SOURCES_READLOOP_H
#define FESCUEWOOD_SOURCES_READLOOP_H

#include "core/Clock.h"
#include "core/Event.h"
#include "policy/ReadAllowance.h"
#include "sources/PlatformSource.h"
#include "sources/SourceHealth.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace fescuewood {

/// Hooks that connect a reader with the rest of the process. All are called on
/// the reader's thread and must not block for long. Any may be empty.
struct PlatformReaderHooks {
  /// Whether this node is currently a reader; when empty, it always is.
  std::function<bool()> IsReader;
  /// The newest version that this node has received completely; revision 0 when
  /// there is none.
  std::function<Version()> NewestSeenVersion;
  /// Called with each new complete version. Its revision is not lower than the
  /// held one or any passed before; when it is equal, the content differs.
  std::function<void(IntentBundle)> OnBundle;
  /// Called with the platform's list of instances when it has changed.
  std::function<void(InstanceList)> OnInstances;
  /// Called when the source becomes unreachable (false) or reachable again
  /// (true).
  std::function<void(bool Reachable)> OnSourceState;
  EventHook OnEvent;
};

/// Counts for metrics; never reset.
struct PlatformReaderCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Stale = 0;         ///< Answers not newer than a previous one.
  std::uint64_t Relayed = 0;       ///< Reads through another node.
  std::uint64_t RelayFailures = 0; ///< Those without a fresh answer.
};

/// Schedules reads and discards stale answers. Not thread-safe, except for
/// \ref counts.
class ReadLoop {
public:
  ReadLoop(PlatformSource Source, const PlatformSettings &Settings,
           PlatformReaderHooks Hooks, Clock Time, std::uint64_t Seed);

  /// Makes at most one read and returns the time until the next step.
  DurationMs step();

  /// Callable from any thread.
  PlatformReaderCounts counts() const;

private:
  bool isReader() const;
  void readIntent();
  void readInstances();
  Version knownVersion() const;
  void onIntent(IntentBundle Bundle, const Version &KnownVersion);
  void onInstances(InstanceList List);
  void onFailure(ResultCode Reason, const std::string &Detail);
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;

  PlatformSource Source;
  PlatformSettings Settings;
  PlatformReaderHooks Hooks;
  Clock Time;
  std::mt19937_64 Random;
  ReadAllowance Allowance;
  TimeMs NextAttempt;
  TimeMs NextInstancesRead;
  Version LastReadVersion; ///< Version that the source returned last.
  std::uint64_t LastInstancesRevision = 0;
  SourceHealth Health;
  std::atomic<std::uint64_t> Reads = 0;
  std::atomic<std::uint64_t> Stale = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_READLOOP_H
