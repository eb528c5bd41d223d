#include "core/ReadFile.h"
#include "intent/IntentFolder.h"
#include "sources/PlatformCodec.h"
#include "sources/PlatformSource.h"

#include <algorithm>
#include <chrono>
#include <condition_variable>
#include <memory>
#include <mutex>
#include <utility>

namespace fescuewood {

namespace {

/// Polling interval for a folder that has not changed.
constexpr DurationMs PollPeriod{200};

constexpr std::string_view InstancesFile = "/instances.json";

/// Reads one folder. Reads are made from a single thread; \ref cancel may be
/// called from any thread.
class FolderClient {
public:
  explicit FolderClient(std::string Folder) : Folder(std::move(Folder)) {}

  PlatformRead<IntentBundle> readIntent(std::uint64_t AfterRevision,
                                        DurationMs Wait) {
    const TimeMs Deadline = Monotonic.now() + Wait;
    while (true) {
      PlatformRead<IntentBundle> Read = pollIntent(AfterRevision);
      const DurationMs Remaining = Deadline - Monotonic.now();
      const bool Done = Read.Value || Read.Reason != ResultCode::Ok;
      if (Done || Remaining <= DurationMs(0) ||
          !waitUnlessCancelled(std::min(Remaining, PollPeriod)))
        return Read;
    }
  }

  PlatformRead<InstanceList> readInstances(std::uint64_t AfterRevision) {
    const std::string Path = Folder + std::string(InstancesFile);
    const std::uint64_t Revision = changeTimeMs(Path);
    if (Revision == 0 || Revision <= AfterRevision || !isSettled(Revision))
      return {};
    const std::optional<std::string> Text = readFile(Path, MaxAnswerBytes);
    if (!Text || changeTimeMs(Path) != Revision)
      return {std::nullopt, ResultCode::PlatformTorn,
              "instances.json changed while it was read"};
    PlatformRead<InstanceList> Read = decodeInstances(*Text);
    if (Read.Value)
      Read.Value->Revision = Revision;
    return Read;
  }

  void cancel() {
    {
      std::lock_guard<std::mutex> Lock(Mutex);
      Cancelled = true;
    }
    CancelSignal.notify_all();
  }

private:
  PlatformRead<IntentBundle> pollIntent(std::uint64_t AfterRevision) {
    const std::uint64_t Revision = intentFolderRevision(Folder);
    if (Revision != 0 && (Revision <= AfterRevision || !isSettled(Revision)))
      return {};
    Problems ReadProblems;
    std::optional<IntentFolder> Read = readIntentFolder(Folder, ReadProblems);
    if (!Read)
      return {std::nullopt, ResultCode::PlatformUnreachable,
              ReadProblems.front().text()};
    // The same revision before and after shows that no file changed in between.
    if (Read->Bundle.Revision != Revision ||
        intentFolderRevision(Folder) != Revision)
      return {};
    return {std::move(Read->Bundle), ResultCode::Ok, ""};
  }

  /// Whether a change is old enough for its writer to have finished. A time
  /// stamp in the future means that the clock was set back; such a change
  /// counts as settled, since waiting would not help.
  bool isSettled(std::uint64_t ChangedMs) const {
    const TimeMs Changed(static_cast<std::int64_t>(ChangedMs));
    const TimeMs Now = Wall.now();
    return Changed > Now || Changed + FolderSettleTime <= Now;
  }

  /// Returns false as soon as the client is cancelled, true after the timeout.
  bool waitUnlessCancelled(DurationMs Timeout) {
    std::unique_lock<std::mutex> Lock(Mutex);
    return !CancelSignal.wait_for(Lock,
                                  std::chrono::milliseconds(Timeout.Value),
                                  [this] { return Cancelled; });
  }

  const std::string Folder;
  const Clock Monotonic = Clock::monotonic();
  const Clock Wall = Clock::wall();
  std::mutex Mutex;
  std::condition_variable CancelSignal;
  bool Cancelled = false;
};

} // namespace

PlatformSource folderSource(const std::string &Folder) {
  // Hooks are copyable, so all copies share one client.
  const auto Client = std::make_shared<FolderClient>(Folder);
  PlatformSource Source;
  Source.ReadIntent = [Client](const Version &KnownVersion, DurationMs Wait) {
    // Any change of a file also changes the revision.
    return Client->readIntent(KnownVersion.Revision, Wait);
  };
  Source.ReadInstances = [Client](std::uint64_t AfterRevision) {
    return Client->readInstances(AfterRevision);
  };
  Source.Cancel = [Client] { Client->cancel(); };
  return Source;
}

} // namespace fescuewood
