/// \file
/// The duty that reads and watches the platform for this node.
///
/// Whether this node reads at all is asked before every read. Reads stay inside
/// the node's part of the fleet's read allowance, also after a restart; failed
/// reads are retried with full jitter.

#ifndef FESCUEWOOD_PLATFORM_PLATFORMREADER_H
#define FESCUEWOOD_PLATFORM_PLATFORMREADER_H

#include "platform/PlatformSource.h"
#include "platform/ReadLoop.h"

#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <thread>

namespace fescuewood {

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
  PlatformReaderCounts counts() const { return Loop.counts(); }

private:
  void run();

  std::function<void()> Cancel;
  ReadLoop Loop;
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_PLATFORM_PLATFORMREADER_H
