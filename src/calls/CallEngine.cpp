#include "calls/CallEngine.h"

#include "calls/CallCore.h"
#include "calls/Refusals.h"
#include "core/Duty.h"

#include <atomic>
#include <chrono>
#include <future>
#include <memory>
#include <mutex>
#include <utility>

namespace fescuewood {

namespace {

/// Most submissions and messages that wait for the duty.
constexpr std::size_t RingCapacity = 4096;

/// Between two looks at what is due.
constexpr DurationMs TickPeriod(5);

/// Longest wait of \ref CallEngine::explain for the duty.
constexpr std::chrono::seconds ExplainPatience(2);

/// Between two copies of the figures.
constexpr DurationMs StatusPeriod(200);

} // namespace

/// What came back for requests that this node itself has outstanding. It is
/// bounded by those, so nothing here is ever refused, as a ring might.
class Returns {
public:
  void push(std::function<void()> Step) {
    const std::lock_guard<std::mutex> Lock(Mutex);
    Steps.push_back(std::move(Step));
  }

  void runAll() {
    std::vector<std::function<void()>> Taken;
    {
      const std::lock_guard<std::mutex> Lock(Mutex);
      Taken.swap(Steps);
    }
    for (const std::function<void()> &Step : Taken)
      Step();
  }

private:
  std::mutex Mutex;
  std::vector<std::function<void()>> Steps;
};

class CallEngine::Impl {
public:
  Impl(CallIdentity Identity, const CallSettings &Settings, CallHooks Hooks)
      : Worker("calls", RingCapacity), Settings(Settings),
        Time(Clock::monotonic()),
        Core(std::move(Identity), Settings, onDuty(std::move(Hooks)), Time) {}

  ~Impl() { stop(); }

  void start() {
    Worker.start(TickPeriod, [this] { tick(); });
  }

  void stop() {
    if (Stopped.exchange(true))
      return;
    Worker.post([this] { Core.abandonAll(); });
    Worker.stop();
    // The ring may have been full; the thread is joined, so this is safe.
    Core.abandonAll();
  }

  CallHandle submit(CallRequest Request, AnswerHook OnAnswer) {
    Idle.store(false);
    const CallHandle Handle = NextHandle.fetch_add(1);
    // Kept outside the task, so that a refused task leaves it to be answered.
    auto Hook = std::make_shared<AnswerHook>(std::move(OnAnswer));
    const bool Taken =
        Worker.post([this, Handle, Request = std::move(Request), Hook] {
          Core.submit(Handle, Request, std::move(*Hook));
        });
    if (!Taken) {
      const ResultCode Reason =
          Stopped.load() ? ResultCode::ShuttingDown : ResultCode::RingFull;
      (*Hook)(refusal(statusOf(Reason), Reason, Outcome::NotRun));
    }
    return Handle;
  }

  void cancel(CallHandle Handle) {
    Worker.post([this, Handle] { Core.cancel(Handle); });
  }

  void handlePeer(PeerKind Kind, std::string_view Body, ReplyHook Reply) {
    Idle.store(false);
    // A message that finds the ring full is as if it were lost on its way.
    Worker.post(
        [this, Kind, Body = std::string(Body), Reply = std::move(Reply)] {
          Core.handlePeer(Kind, Body, Reply);
        });
  }

  void setSnapshot(SnapshotPtr Snapshot) {
    change(
        [this, Snapshot = std::move(Snapshot)] { Core.setSnapshot(Snapshot); });
  }

  void setInstances(std::vector<Instance> Instances) {
    change([this, Instances = std::move(Instances)] {
      Core.setInstances(Instances);
    });
  }

  void setOwnTarget(std::optional<ListedInstance> Listed) {
    change([this, Listed = std::move(Listed)] { Core.setOwnTarget(Listed); });
  }

  void setDraining() {
    change([this] { Core.setDraining(); });
  }

  bool idle() const { return Idle.load() && Worker.backlog() == 0; }

  CallStatus status() const {
    const std::lock_guard<std::mutex> Lock(StatusMutex);
    return Copied;
  }

  std::optional<std::vector<RouterCandidate>> explain(std::string Service) {
    // Shared with the task, which may run after the wait has ended.
    auto Answer =
        std::make_shared<std::promise<std::vector<RouterCandidate>>>();
    auto Result = Answer->get_future();
    change([this, Answer, Service = std::move(Service)] {
      Answer->set_value(Core.explain(Service));
    });
    if (Result.wait_for(ExplainPatience) != std::future_status::ready)
      return std::nullopt;
    return Result.get();
  }

private:
  /// Runs a step on the duty that must not be refused.
  void change(std::function<void()> Step) {
    Idle.store(false);
    Inbox.push(std::move(Step));
    Worker.post([this] { Inbox.runAll(); });
  }

  /// The hooks with every call back brought to the duty.
  CallHooks onDuty(CallHooks Hooks) {
    PeerSend Send = std::move(Hooks.Send);
    Hooks.Send = [this, Send = std::move(Send)](PeerRequest Request,
                                                PeerReplyHook OnReply) {
      Send(std::move(Request),
           [this, OnReply = std::move(OnReply)](PeerReply Reply) {
             change([OnReply, Reply = std::move(Reply)] { OnReply(Reply); });
           });
    };
    auto Run = std::move(Hooks.Target.Run);
    Hooks.Target.Run = [this, Run = std::move(Run)](const CallRequest &Request,
                                                    DurationMs Timeout,
                                                    RunHook OnResult) {
      Run(Request, Timeout,
          [this, OnResult = std::move(OnResult)](RunResult Result) {
            change(
                [OnResult, Result = std::move(Result)] { OnResult(Result); });
          });
    };
    if (auto Probe = std::move(Hooks.Target.Probe)) {
      Hooks.Target.Probe =
          [this, Probe = std::move(Probe)](
              std::function<void(const ProbeResult &)> OnResult) {
            Probe([this,
                   OnResult = std::move(OnResult)](const ProbeResult &Result) {
              change([OnResult, Result] { OnResult(Result); });
            });
          };
    }
    return Hooks;
  }

  void tick() {
    Inbox.runAll();
    Core.tick();
    Idle.store(Core.idle());
    const TimeMs Now = Time.now();
    if (Now - CopiedAt < StatusPeriod)
      return;
    CopiedAt = Now;
    CallStatus Status = Core.status();
    const std::lock_guard<std::mutex> Lock(StatusMutex);
    Copied = std::move(Status);
  }

  Duty Worker;
  CallSettings Settings;
  Clock Time;
  Returns Inbox;
  CallCore Core;
  std::atomic<CallHandle> NextHandle{1};
  std::atomic<bool> Stopped{false};
  std::atomic<bool> Idle{true};
  TimeMs CopiedAt{0};
  mutable std::mutex StatusMutex;
  CallStatus Copied;
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

void CallEngine::setDraining() { State->setDraining(); }

bool CallEngine::idle() const { return State->idle(); }

CallStatus CallEngine::status() const { return State->status(); }

std::optional<std::vector<RouterCandidate>>
CallEngine::explain(std::string Service) const {
  return State->explain(std::move(Service));
}

} // namespace fescuewood
