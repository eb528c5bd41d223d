/// \file
/// The duty that reads and watches the platform for this node.
///
/// Whether this node reads at all is asked before every read. Reads stay inside
/// the node's part of the fleet's read allowance, also after a restart; failed
/// reads are retried with full jitter.

#ifndef FESCUEWOOD_PLATFORM_PLATFORMREADER_H
#define FESCUEWOOD_PLATFORM_PLATFORMREADER_H

#include "core/Event.h"
#include "platform/PlatformSource.h"
#include "policy/ReadAllowance.h"

#include <atomic>
#include <cstdint>
#include <functional>
#include <memory>
#include <random>
#include <thread>
#include <vector>

namespace fescuewood {

/// What a reader asks of and tells the rest of the process. All are called on
/// the reader's thread and must not block for long.
struct PlatformReaderHooks {
  /// Whether this node is one of the readers now.
  std::function<bool()> AmReader;
  /// The revision of the newest version that this node holds, 0 for none.
  std::function<std::uint64_t()> HeldRevision;
  /// A whole version that is newer than the one held.
  std::function<void(IntentBundle)> OnBundle;
  /// The platform's list of instances, whenever it has changed.
  std::function<void(std::vector<ListedInstance>)> OnInstances;
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

/// Reads the platform on a thread of its own.
class PlatformReader {
public:
  PlatformReader(PlatformSource Source, const PlatformSettings &Settings,
                 PlatformReaderHooks Hooks, std::uint64_t Seed);
  ~PlatformReader();
  PlatformReader(const PlatformReader &) = delete;
  PlatformReader &operator=(const PlatformReader &) = delete;

  void start();

  /// Cancels a blocked read and joins the thread.
  void stop();

  /// From any thread.
  PlatformReaderCounts counts() const;

private:
  class Loop;
  std::unique_ptr<Loop> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_PLATFORM_PLATFORMREADER_H
