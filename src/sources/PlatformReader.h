/// \file
/// Background thread that reads and watches the platform for this node.
///
/// \ref ReadLoop or \ref StoreLoop decides what is read and when; its steps run
/// on this thread.

#ifndef FESCUEWOOD_SOURCES_PLATFORMREADER_H
#define FESCUEWOOD_SOURCES_PLATFORMREADER_H

#include "core/Clock.h"
#include "sources/PlatformSource.h"
#include "sources/ReadLoop.h"

#include <condition_variable>
#include <cstdint>
#include <functional>
#include <mutex>
#include <thread>

namespace fescuewood {

/// Runs the steps of a read loop on its own thread.
class PlatformReader {
public:
  /// \param Step makes at most one read and returns the time until the next
  /// step. \param Cancel makes a blocked read return.
  PlatformReader(std::function<DurationMs()> Step,
                 std::function<void()> Cancel);

  /// Runs a \ref ReadLoop over a source.
  PlatformReader(PlatformSource Source, const PlatformSettings &Settings,
                 PlatformReaderHooks Hooks, std::uint64_t Seed);
  ~PlatformReader();
  PlatformReader(const PlatformReader &) = delete;
  PlatformReader &operator=(const PlatformReader &) = delete;

  void start();

  /// Cancels a blocked read and joins the thread.
  void stop();

private:
  void run();

  std::function<DurationMs()> Step;
  std::function<void()> Cancel;
  std::mutex Mutex;
  std::condition_variable StopSignal;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_PLATFORMREADER_H
