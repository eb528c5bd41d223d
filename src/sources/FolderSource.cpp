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

/// Time between two looks at a folder that has not changed.
constexpr DurationMs LookPeriod{200};

constexpr std::string_view InstancesFile = "/instances.json";

/// Reads one folder. Reads come from one thread.
class FolderClient {
public:
  explicit FolderClient(std::string Folder) : Folder(std::move(Folder)) {}

  PlatformRead<IntentBundle> readIntent(std::uint64_t After, DurationMs Wait) {
    const TimeMs Until = Monotonic.now() + Wait;
    while (true) {
      PlatformRead<IntentBundle> Read = lookAtIntent(After);
      const DurationMs Left = Until - Monotonic.now();
      const bool Done = Read.Value || Read.Reason != ResultCode::Ok;
      if (Done || Left <= DurationMs(0) || !pause(std::min(Left, LookPeriod)))
        return Read;
    }
  }

  PlatformRead<InstanceList> readInstances(std::uint64_t After) {
    const std::string Path = Folder + std::string(InstancesFile);
    const std::uint64_t Revision = changeTimeMs(Path);
    if (Revision == 0 || Revision <= After || !isSettled(Revision))
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
    Changed.notify_all();
  }

private:
  PlatformRead<IntentBundle> lookAtIntent(std::uint64_t After) {
    const std::uint64_t Before = intentFolderRevision(Folder);
    if (Before != 0 && (Before <= After || !isSettled(Before)))
      return {};
    Problems Found;
    std::optional<IntentFolder> Read = readIntentFolder(Folder, Found);
    if (!Read)
      return {std::nullopt, ResultCode::PlatformUnreachable,
              Found.front().text()};
    // Equal times before and after show that no file changed in between.
    if (Read->Bundle.Revision != Before ||
        intentFolderRevision(Folder) != Before)
      return {};
    return {std::move(Read->Bundle), ResultCode::Ok, ""};
  }

  /// Whether a change is old enough for its writer to have finished. A change
  /// in the future means that the clock went back; waiting would not help.
  bool isSettled(std::uint64_t ChangedMs) const {
    const TimeMs Changed(static_cast<std::int64_t>(ChangedMs));
    const TimeMs Now = Wall.now();
    return Changed > Now || Changed + FolderSettleTime <= Now;
  }

  /// Waits; false once cancelled.
  bool pause(DurationMs Span) {
    std::unique_lock<std::mutex> Lock(Mutex);
    return !Changed.wait_for(Lock, std::chrono::milliseconds(Span.Value),
                             [this] { return Cancelled; });
  }

  const std::string Folder;
  const Clock Monotonic = Clock::monotonic();
  const Clock Wall = Clock::wall();
  std::mutex Mutex;
  std::condition_variable Changed;
  bool Cancelled = false;
};

} // namespace

PlatformSource folderSource(const std::string &Folder) {
  // Shared, since hooks are copied and all of them use the one folder.
  const auto Client = std::make_shared<FolderClient>(Folder);
  PlatformSource Source;
  Source.ReadIntent = [Client](const Version &Known, DurationMs Wait) {
    // A change of a file changes the revision too.
    return Client->readIntent(Known.Revision, Wait);
  };
  Source.ReadInstances = [Client](std::uint64_t After) {
    return Client->readInstances(After);
  };
  Source.Cancel = [Client] { Client->cancel(); };
  return Source;
}

} // namespace fescuewood
