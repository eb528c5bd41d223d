#include "nodes/ControlDuty.h"

#include "core/Duty.h"
#include "nodes/ControlCore.h"

#include <future>
#include <mutex>
#include <random>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t TaskRingSize = 2048;
constexpr std::chrono::seconds StatusPatience{2};

RandomHook makeRandom(std::uint64_t Seed) {
  const std::uint64_t Start = Seed != 0 ? Seed : std::random_device()();
  return [Engine = std::mt19937_64(Start)]() mutable { return Engine(); };
}

} // namespace

/// The core with its thread, and copies of what other threads read.
class ControlDuty::State {
public:
  State(ControlDuty &Face, ControlSettings Settings, const PeerIdentity &Self,
        ControlHooks Hooks)
      : Face(Face), TickPeriod(Settings.TickPeriod),
        PauseLimit(Settings.Versions.PauseLimit), Work("control", TaskRingSize),
        RawSend(Hooks.Send), Random(makeRandom(Settings.Seed)),
        Core(std::move(Settings), Self.Incarnation, onDuty(std::move(Hooks)),
             Clock::monotonic(), Random) {}

  void tick() {
    Core.tick();
    publish();
    // Only now can others see a pause that this tick has noticed.
    LastTick = Clock::monotonic().now().Value;
  }

  ControlDuty &Face;
  const DurationMs TickPeriod;
  const DurationMs PauseLimit;
  Duty Work;
  PeerSend RawSend;
  RandomHook Random;
  ControlCore Core;
  std::atomic<std::int64_t> LastTick{Clock::monotonic().now().Value};
  std::atomic<bool> CatchingUp{false};
  std::atomic<std::int64_t> ProvenAt{0};
  std::mutex Mutex;
  Version Held;
  VersionSpread SpreadCopy;
  std::uint32_t SpreadDigest = 0;
  std::optional<Version> SpreadVersion;
  ControlStatus LastStatus;
  bool Stopped = true;

private:
  /// Makes replies come back on the duty's thread. One that the full ring
  /// refuses is as good as lost, which the core has to bear anyway.
  ControlHooks onDuty(ControlHooks Hooks) {
    Hooks.Send = [this](PeerRequest Request, PeerReplyHook OnReply) {
      RawSend(std::move(Request), [this, OnReply = std::move(OnReply)](
                                      PeerReply Reply) {
        Work.post([OnReply, Reply = std::move(Reply)] { OnReply(Reply); });
      });
    };
    return Hooks;
  }

  void publish() {
    Face.Reader = Core.isReader();
    CatchingUp = Core.phase() == ControlPhase::CatchingUp;
    ProvenAt = Core.provenAt().Value;
    const std::uint32_t Digest = Core.spread().digest();
    const auto InForce = Core.inForce();
    std::lock_guard<std::mutex> Lock(Mutex);
    Held = Core.newestSeenVersion();
    if (Digest == SpreadDigest && InForce == SpreadVersion)
      return;
    SpreadCopy = Core.spread();
    SpreadDigest = Digest;
    SpreadVersion = InForce;
  }
};

ControlDuty::ControlDuty(ControlSettings Settings, const PeerIdentity &Self,
                         ControlHooks Hooks)
    : Own(std::make_unique<State>(*this, std::move(Settings), Self,
                                  std::move(Hooks))) {}

ControlDuty::~ControlDuty() { stop(); }

void ControlDuty::registerWith(PeerServer &Server) {
  for (const PeerKind Kind : {PeerKind::Exchange, PeerKind::Fetch}) {
    Server.handle(Kind, [this, Kind](const PeerIdentity &From,
                                     std::string_view Body, ReplyHook Reply) {
      // A full ring drops the request; the other node asks again later.
      Own->Work.post([this, Kind, From, Body = std::string(Body),
                      Reply = std::move(Reply)] {
        Reply(Own->Core.serve(Kind, From, Body));
      });
    });
  }
}

void ControlDuty::start() {
  {
    std::lock_guard<std::mutex> Lock(Own->Mutex);
    Own->Stopped = false;
  }
  Own->Work.start(Own->TickPeriod, [this] { Own->tick(); });
}

void ControlDuty::stop() {
  const ControlStatus Last = status();
  {
    std::lock_guard<std::mutex> Lock(Own->Mutex);
    Own->LastStatus = Last;
    Own->Stopped = true;
  }
  Own->Work.stop();
}

void ControlDuty::offerBundle(IntentBundle Bundle) {
  Own->Work.post([this, Bundle = std::move(Bundle)]() mutable {
    Own->Core.offerBundle(std::move(Bundle));
  });
}

void ControlDuty::offerInstances(InstanceList List) {
  Own->Work.post(
      [this, List = std::move(List)] { Own->Core.offerInstances(List); });
}

void ControlDuty::offerProof(TimeMs At, std::uint64_t Revision) {
  Own->Work.post([this, At, Revision] {
    Own->Core.onProof(At, Revision);
    Own->ProvenAt = Own->Core.provenAt().Value;
  });
}

TimeMs ControlDuty::provenAt() const { return TimeMs(Own->ProvenAt); }

void ControlDuty::setOwnState(TargetState State) {
  Own->Work.post([this, State] { Own->Core.setOwnState(State); });
}

void ControlDuty::leave() {
  Own->Work.post([this] { Own->Core.leave(); });
}

bool ControlDuty::viewCurrent() const {
  const DurationMs SinceTick = Clock::monotonic().now() - TimeMs(Own->LastTick);
  return !Own->CatchingUp && SinceTick <= Own->PauseLimit;
}

Version ControlDuty::newestSeenVersion() const {
  std::lock_guard<std::mutex> Lock(Own->Mutex);
  return Own->Held;
}

std::optional<Version> ControlDuty::slotVersion(std::string_view Domain,
                                                std::uint32_t Slot) const {
  std::lock_guard<std::mutex> Lock(Own->Mutex);
  return Own->SpreadCopy.slotVersion(Domain, Slot);
}

bool ControlDuty::hasReachedAllSlots(const Version &Wanted) const {
  std::lock_guard<std::mutex> Lock(Own->Mutex);
  return Own->SpreadCopy.hasReachedAllSlots(Wanted);
}

ControlStatus ControlDuty::status() const {
  {
    std::lock_guard<std::mutex> Lock(Own->Mutex);
    if (Own->Stopped)
      return Own->LastStatus;
  }
  auto Answer = std::make_shared<std::promise<ControlStatus>>();
  std::future<ControlStatus> Future = Answer->get_future();
  const bool Posted =
      Own->Work.post([this, Answer] { Answer->set_value(Own->Core.status()); });
  if (!Posted || Future.wait_for(StatusPatience) != std::future_status::ready)
    return Own->LastStatus;
  return Future.get();
}

} // namespace fescuewood
