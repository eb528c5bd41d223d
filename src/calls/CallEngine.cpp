#include "calls/CallEngine.h"

#include "calls/CallCore.h"
#include "calls/Refusals.h"
#include "core/ProcessMemory.h"
#include "core/TaskThread.h"
#include "policy/MemoryWatch.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Maximum number of queued submissions and messages.
constexpr std::size_t RingCapacity = 4096;

/// Interval between two runs of due steps, and the longest one while nothing is
/// due.
constexpr DurationMs TickPeriod(5);
constexpr DurationMs IdleTickPeriod(50);

/// Maximum time that \ref CallEngine::explain waits for the worker thread.
constexpr std::chrono::seconds ExplainTimeout(2);

/// Interval between two copies of the status.
constexpr DurationMs StatusPeriod(200);

/// Interval between two measurements of the resident memory.
constexpr DurationMs MemoryPeriod(1000);

} // namespace

class CallEngine::Impl {
public:
  Impl(CallIdentity Identity, const CallSettings &Settings, CallHooks Hooks)
      : Worker("calls", RingCapacity), Settings(Settings),
        Time(Clock::monotonic()), Memory{Hooks.ResidentMemory,
                                         Identity.MachineBytes, Hooks.OnEvent},
        Core(std::move(Identity), Settings, wrapHooks(std::move(Hooks)), Time) {
  }

  ~Impl() { stop(); }

  void start() {
    Worker.start({TickPeriod, IdleTickPeriod, [this] { return untilDue(); }},
                 [this] { tick(); });
  }

  void stop() {
    if (Stopped.exchange(true))
      return;
    Worker.post([this] { Core.refuseAll(); });
    Worker.stop();
    // The post fails if the ring is full. The worker thread is joined, so the
    // core can be used here.
    Core.refuseAll();
  }

  CallHandle submit(CallRequest Request, AnswerHook OnAnswer) {
    Idle.store(false);
    const CallHandle Handle = NextHandle.fetch_add(1);
    // Shared with the task, so that it can be called if the task is refused.
    auto Hook = std::make_shared<AnswerHook>(std::move(OnAnswer));
    const TimeMs SubmittedAt = Time.now();
    const bool Accepted =
        Worker.post([this, Handle, SubmittedAt, Request = std::move(Request),
                     Hook]() mutable {
          Request.Remaining = Request.Remaining - (Time.now() - SubmittedAt);
          Core.submit(Handle, std::move(Request), std::move(*Hook));
        });
    if (!Accepted) {
      const ResultCode Reason =
          Stopped.load() ? ResultCode::ShuttingDown : ResultCode::RingFull;
      (*Hook)(refusal(httpStatus(Reason), Reason, Outcome::NotRun));
    }
    return Handle;
  }

  void cancel(CallHandle Handle) {
    Worker.post([this, Handle] { Core.cancel(Handle); });
  }

  void handlePeer(PeerKind Kind, std::string_view Body, ReplyHook Reply) {
    Idle.store(false);
    // A message is dropped if the ring is full, as if lost in transit.
    Worker.post(
        [this, Kind, Body = std::string(Body), Reply = std::move(Reply)] {
          Core.handlePeer(Kind, Body, Reply);
        });
  }

  void setSnapshot(SnapshotPtr Snapshot) {
    postReliably(
        [this, Snapshot = std::move(Snapshot)] { Core.setSnapshot(Snapshot); });
  }

  void setInstances(std::vector<Instance> Instances) {
    postReliably([this, Instances = std::move(Instances)] {
      Core.setInstances(Instances);
    });
  }

  void setOwnTarget(std::optional<ListedInstance> Listed) {
    postReliably(
        [this, Listed = std::move(Listed)] { Core.setOwnTarget(Listed); });
  }

  void setOwnReport(const MemberListing &Report) {
    postReliably([this, Report] { Core.setOwnReport(Report); });
  }

  void setLeaving(TimeMs End) {
    postReliably([this, End] { Core.setLeaving(End); });
  }

  void setDraining(TimeMs End) {
    postReliably([this, End] { Core.setDraining(End); });
  }

  void refuseWaiting() {
    postReliably([this] { Core.refuseWaiting(); });
  }

  void refuseAll() {
    postReliably([this] { Core.refuseAll(); });
  }

  bool idle() const { return Idle.load() && Worker.backlog() == 0; }

  CallStatus status() const {
    const std::lock_guard<std::mutex> Lock(StatusMutex);
    return StatusCopy;
  }

  std::optional<std::vector<RouterCandidate>> explain(std::string Service) {
    // Shared with the task, which may run after the wait has ended.
    auto Answer =
        std::make_shared<std::promise<std::vector<RouterCandidate>>>();
    auto Result = Answer->get_future();
    postReliably([this, Answer, Service = std::move(Service)] {
      Answer->set_value(Core.explain(Service));
    });
    if (Result.wait_for(ExplainTimeout) != std::future_status::ready)
      return std::nullopt;
    return Result.get();
  }

private:
  /// Runs a step on the worker thread; is never refused.
  void postReliably(std::function<void()> Step) {
    Idle.store(false);
    Worker.postReliably(std::move(Step));
  }

  /// Wraps \p Hooks so that their results are handled on the worker thread.
  CallHooks wrapHooks(CallHooks Hooks) {
    PeerSend Send = std::move(Hooks.Send);
    Hooks.Send = [this, Send = std::move(Send)](PeerRequest Request,
                                                PeerReplyHook OnReply) {
      Send(std::move(Request),
           [this, OnReply = std::move(OnReply)](PeerReply Reply) {
             postReliably([OnReply, Reply = std::move(Reply)]() mutable {
               OnReply(std::move(Reply));
             });
           });
    };
    auto Run = std::move(Hooks.Target.Run);
    Hooks.Target.Run = [this, Run = std::move(Run)](const CallRequest &Request,
                                                    DurationMs Timeout,
                                                    RunHook OnResult) {
      Run(Request, Timeout,
          [this, OnResult = std::move(OnResult)](RunResult Result) {
            postReliably([OnResult, Result = std::move(Result)]() mutable {
              OnResult(std::move(Result));
            });
          });
    };
    if (auto Probe = std::move(Hooks.Target.Probe)) {
      Hooks.Target.Probe =
          [this, Probe = std::move(Probe)](
              std::function<void(const ProbeResult &)> OnResult) {
            Probe([this,
                   OnResult = std::move(OnResult)](const ProbeResult &Result) {
              postReliably([OnResult, Result] { OnResult(Result); });
            });
          };
    }
    return Hooks;
  }

  DurationMs untilDue() {
    return std::clamp(Core.nextDue() - Time.now(), DurationMs(0),
                      IdleTickPeriod);
  }

  void tick() {
    Core.tick();
    Idle.store(Core.idle());
    const TimeMs Now = Time.now();
    if (Now - CopiedAt < StatusPeriod)
      return;
    CopiedAt = Now;
    copyStatus();
    if (Now - Memory.MeasuredAt < MemoryPeriod)
      return;
    Memory.MeasuredAt = Now;
    watchMemory();
  }

  void copyStatus() {
    CallStatus Status = Core.status();
    const std::lock_guard<std::mutex> Lock(StatusMutex);
    StatusCopy = std::move(Status);
  }

  /// Reports when the process uses most of the machine's memory.
  void watchMemory() {
    const auto Resident =
        Memory.ResidentBytes ? Memory.ResidentBytes() : std::nullopt;
    if (!Resident || Memory.MachineBytes == 0 || !Memory.OnEvent ||
        !Memory.Watch.update(*Resident, Memory.MachineBytes))
      return;
    const CallStatus Status = status();
    const HeapUse Heap = heapUse();
    Memory.OnEvent({EventId::MemoryHigh,
                    {{"resident_bytes", std::to_string(*Resident)},
                     {"machine_bytes", std::to_string(Memory.MachineBytes)},
                     {"heap_used_bytes", std::to_string(Heap.Used)},
                     {"heap_free_bytes", std::to_string(Heap.Free)},
                     {"kept_bytes", std::to_string(Status.KeptBytes)},
                     {"joining_bytes", std::to_string(Status.JoiningBytes)},
                     {"queued_bytes", std::to_string(Status.QueuedBytes)},
                     {"held_bytes", std::to_string(Status.HeldBytes)}}});
  }

  /// What \ref watchMemory needs.
  struct MemoryReport {
    std::function<std::optional<std::size_t>()> ResidentBytes;
    std::size_t MachineBytes;
    EventHook OnEvent;
    MemoryWatch Watch = {};
    TimeMs MeasuredAt{0};
  };

  TaskThread Worker;
  CallSettings Settings;
  Clock Time;
  MemoryReport Memory;
  CallCore Core;
  std::atomic<CallHandle> NextHandle{1};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Idle{true};
  TimeMs CopiedAt{0};
  mutable std::mutex StatusMutex;
  CallStatus StatusCopy;
};

CallEngine::CallEngine(CallIdentity Identity, CallSettings Settings,
                       CallHooks Hooks)
    : State(std::make_unique<Impl>(std::move(Identity), Settings,
                                   std::move(Hooks))) {}

CallEngine::~CallEngine() = default;

void CallEngine::start() { State->start(); }

void CallEngine::stop() { State->stop(); }

CallHandle CallEngine::submit(CallRequest Request, AnswerHook OnAnswer) {
  return State->submit(std::move(Request), std::move(OnAnswer));
}

void CallEngine::cancel(CallHandle Handle) { State->cancel(Handle); }

void CallEngine::handlePeer(PeerKind Kind, const PeerIdentity &,
                            std::string_view Body, ReplyHook Reply) {
  State->handlePeer(Kind, Body, std::move(Reply));
}

void CallEngine::setSnapshot(SnapshotPtr Snapshot) {
  State->setSnapshot(std::move(Snapshot));
}

void CallEngine::setInstances(std::vector<Instance> Instances) {
  State->setInstances(std::move(Instances));
}

void CallEngine::setOwnTarget(std::optional<ListedInstance> Listed) {
  State->setOwnTarget(std::move(Listed));
}

void CallEngine::setOwnReport(const MemberListing &Report) {
  State->setOwnReport(Report);
}

void CallEngine::setLeaving(TimeMs End) { State->setLeaving(End); }

void CallEngine::setDraining(TimeMs End) { State->setDraining(End); }

void CallEngine::refuseWaiting() { State->refuseWaiting(); }

void CallEngine::refuseAll() { State->refuseAll(); }

bool CallEngine::idle() const { return State->idle(); }

CallStatus CallEngine::status() const { return State->status(); }

std::optional<std::vector<RouterCandidate>>
CallEngine::explain(std::string Service) const {
  return State->explain(std::move(Service));
}

} // namespace fescuewood
