/// \file
/// One step after the other of reading and watching the platform.
///
/// The owner calls \ref ReadLoop::step and waits for as long as it says. A step
/// makes at most one read.

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

/// What a reader asks of and tells the rest of the process. All are called on
/// the reader's thread and must not block for long. Any may be empty.
struct PlatformReaderHooks {
  /// Whether this node is one of the readers now; empty for always.
  std::function<bool()> IsReader;
  /// The newest version that this node has seen whole; revision 0 for none.
  std::function<Version()> NewestSeenVersion;
  /// A whole version that is news: of a revision that is not below the one held
  /// or any given before, and of another content where it is the same.
  std::function<void(IntentBundle)> OnBundle;
  /// The platform's list of instances, whenever it has changed.
  std::function<void(InstanceList)> OnInstances;
  /// The source has become unreachable (false) or answers again (true).
  std::function<void(bool Reachable)> OnSourceState;
  EventHook OnEvent;
};

/// Counts for metrics; never reset.
struct PlatformReaderCounts {
  std::uint64_t Reads = 0;
  std::uint64_t Failures = 0;
  std::uint64_t Stale = 0; ///< Answers older than what was already seen.
};

/// Decides when to read what, and judges the answers. Owned by one thread,
/// but for \ref counts.
class ReadLoop {
public:
  ReadLoop(PlatformSource Source, const PlatformSettings &Settings,
           PlatformReaderHooks Hooks, Clock Time, std::uint64_t Seed);

  /// Makes at most one read and returns the time until the next step.
  DurationMs step();

  /// From any thread.
  PlatformReaderCounts counts() const;

private:
  bool isReader() const;
  void readIntent();
  void readInstances();
  Version known() const;
  void judge(IntentBundle Bundle, const Version &Known);
  void judge(InstanceList List);
  void failed(ResultCode Reason, const std::string &Detail);
  void emit(EventId Id, std::vector<EventField> Fields = {}) const;

  PlatformSource Source;
  PlatformSettings Settings;
  PlatformReaderHooks Hooks;
  Clock Time;
  std::mt19937_64 Random;
  ReadAllowance Allowance;
  TimeMs NextAttempt;
  TimeMs NextInstances;
  Version SeenIntent; ///< What the source has shown last.
  std::uint64_t SeenInstances = 0;
  SourceHealth Health;
  std::atomic<std::uint64_t> Reads = 0;
  std::atomic<std::uint64_t> Stale = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_READLOOP_H
