/// \file
/// The duty that reads and watches the platform for this node.
///
/// What is read when is decided by \ref ReadLoop or \ref StoreLoop, whose steps
/// run on the duty's thread.

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

/// Reads the platform on a thread of its own.
class PlatformReader {
public:
  /// \param Step makes at most one read and returns the time until the next;
  /// \param Cancel makes a blocked read return.
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
  std::condition_variable Changed;
  bool Stopping = false;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_PLATFORMREADER_H
