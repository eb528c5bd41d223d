#include "sources/PlatformReader.h"

#include <pthread.h>

#include <chrono>
#include <memory>
#include <utility>

namespace fescuewood {

PlatformReader::PlatformReader(std::function<DurationMs()> Step,
                               std::function<void()> Cancel)
    : Step(std::move(Step)), Cancel(std::move(Cancel)) {}

PlatformReader::PlatformReader(PlatformSource Source,
                               const PlatformSettings &Settings,
                               PlatformReaderHooks Hooks, std::uint64_t Seed)
    : Cancel(Source.Cancel) {
  // std::function requires a copyable target, so the loop is shared.
  const auto Loop = std::make_shared<ReadLoop>(
      std::move(Source), Settings, std::move(Hooks), Clock::monotonic(), Seed);
  Step = [Loop] { return Loop->step(); };
}

PlatformReader::~PlatformReader() { stop(); }

void PlatformReader::start() {
  Thread = std::thread([this] {
    pthread_setname_np(pthread_self(), "platform");
    run();
  });
}

void PlatformReader::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Stopping = true;
  }
  StopSignal.notify_all();
  if (Cancel)
    Cancel();
  if (Thread.joinable())
    Thread.join();
}

void PlatformReader::run() {
  while (true) {
    const DurationMs Pause = Step();
    std::unique_lock<std::mutex> Lock(Mutex);
    const bool Stopped =
        StopSignal.wait_for(Lock, std::chrono::milliseconds(Pause.Value),
                            [this] { return Stopping; });
    if (Stopped)
      return;
  }
}

} // namespace fescuewood
