#include "nodes/ControlDuty.h"

#include "core/TaskThread.h"
#include "nodes/ControlCore.h"
#include "nodes/StoreRelay.h"

#include <future>
#include <mutex>
#include <random>
#include <utility>

namespace fescuewood {

namespace {

constexpr std::size_t TaskRingSize = 2048;
constexpr std::chrono::seconds StatusTimeout{2};

RandomHook makeRandom(std::uint64_t Seed) {
  const std::uint64_t Start = Seed != 0 ? Seed : std::random_device()();
  return [Engine = std::mt19937_64(Start)]() mutable { return Engine(); };
}

} // namespace

/// The core with its thread, and copies of the values that other threads read.
class ControlDuty::State {
public:
  State(ControlDuty &Owner, ControlSettings Settings, const PeerIdentity &Self,
        ControlHooks Hooks)
      : Owner(Owner), TickPeriod(Settings.TickPeriod),
        PauseLimit(Settings.Versions.PauseLimit), Work("control", TaskRingSize),
        TransportSend(Hooks.Send), Random(makeRandom(Settings.Seed)),
        Core(std::move(Settings), Self.Incarnation,
             postRepliesToDuty(std::move(Hooks)), Clock::monotonic(), Random) {}

  void tick() {
    Core.tick();
    Relay.tick();
    publish();
    // Set after publish(), so that viewCurrent() cannot miss a pause detected
    // by this tick.
    LastTick = Clock::monotonic().now().Value;
  }

  ControlDuty &Owner;
  const DurationMs TickPeriod;
  const DurationMs PauseLimit;
  TaskThread Work;
  PeerSend TransportSend;
  RandomHook Random;
  ControlCore Core;
  StoreRelay Relay{Clock::monotonic()};
  std::atomic<std::int64_t> LastTick{Clock::monotonic().now().Value};
  std::atomic<bool> CatchingUp{false};
  std::atomic<std::int64_t> ProvenAt{0};
  std::mutex Mutex;
  Version NewestSeen;
  std::vector<std::string> Relays;
  VersionSpread SpreadCopy;
  std::uint32_t SpreadDigest = 0;
  std::optional<Version> SpreadVersion;
  ControlStatus LastStatus;
  bool Stopped = true;

private:
  /// Wraps the send hook so that replies are posted to the duty's thread. A
  /// reply dropped because the ring is full is treated like a lost message.
  ControlHooks postRepliesToDuty(ControlHooks Hooks) {
    Hooks.Send = [this](PeerRequest Request, PeerReplyHook OnReply) {
      TransportSend(std::move(Request), [this, OnReply = std::move(OnReply)](
                                            PeerReply Reply) {
        Work.post([OnReply, Reply = std::move(Reply)] { OnReply(Reply); });
      });
    };
    return Hooks;
  }

  void publish() {
    Owner.Reader = Core.isReader();
    CatchingUp = Core.phase() == ControlPhase::CatchingUp;
    ProvenAt = Core.provenAt().Value;
    const std::uint32_t Digest = Core.spread().digest();
    const auto InForce = Core.inForce();
    std::lock_guard<std::mutex> Lock(Mutex);
    NewestSeen = Core.newestSeenVersion();
    if (Relays != Core.relays())
      Relays = Core.relays();
    if (Digest == SpreadDigest && InForce == SpreadVersion)
      return;
    SpreadCopy = Core.spread();
    SpreadDigest = Digest;
    SpreadVersion = InForce;
  }
};

ControlDuty::ControlDuty(ControlSettings Settings, const PeerIdentity &Self,
                         ControlHooks Hooks)
    : Impl(std::make_unique<State>(*this, std::move(Settings), Self,
                                   std::move(Hooks))) {}

ControlDuty::~ControlDuty() { stop(); }

void ControlDuty::registerWith(PeerServer &Server) {
  for (const PeerKind Kind : {PeerKind::Exchange, PeerKind::Fetch}) {
    Server.handle(Kind, [this, Kind](const PeerIdentity &From,
                                     std::string_view Body, ReplyHook Reply) {
      // A request dropped by a full ring is repeated later by the other node.
      Impl->Work.post([this, Kind, From, Body = std::string(Body),
                       Reply = std::move(Reply)] {
        Reply(Impl->Core.serve(Kind, From, Body));
      });
    });
  }
  Server.handle(
      PeerKind::StoreWatch,
      [this](const PeerIdentity &, std::string_view Body, ReplyHook Reply) {
        Impl->Work.post([this, Body = std::string(Body),
                         Reply = std::move(Reply)]() mutable {
          Impl->Relay.serve(Body, std::move(Reply));
        });
      });
}

void ControlDuty::start() {
  {
    std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->Stopped = false;
  }
  Impl->Work.start(Impl->TickPeriod, [this] { Impl->tick(); });
}

void ControlDuty::stop() {
  const ControlStatus FinalStatus = status();
  {
    std::lock_guard<std::mutex> Lock(Impl->Mutex);
    Impl->LastStatus = FinalStatus;
    Impl->Stopped = true;
  }
  Impl->Work.stop();
}

void ControlDuty::offerBundle(IntentBundle Bundle) {
  Impl->Work.postReliably([this, Bundle = std::move(Bundle)]() mutable {
    Impl->Core.offerBundle(std::move(Bundle));
  });
}

void ControlDuty::offerInstances(InstanceList List) {
  Impl->Work.postReliably(
      [this, List = std::move(List)] { Impl->Core.offerInstances(List); });
}

void ControlDuty::offerProof(TimeMs At, std::uint64_t Revision,
                             std::uint64_t Number) {
  Impl->Work.post([this, At, Revision, Number] {
    Impl->Core.onProof(At, Revision, Number);
    Impl->ProvenAt = Impl->Core.provenAt().Value;
  });
}

void ControlDuty::offerReplica(ReplicaUpdate Update) {
  Impl->Work.postReliably(
      [this, Update = std::move(Update)] { Impl->Relay.update(Update); });
}

void ControlDuty::onSourceLost() {
  Impl->Work.postReliably([this] { Impl->Relay.onSourceLost(); });
}

std::vector<std::string> ControlDuty::relays() const {
  std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->Relays;
}

TimeMs ControlDuty::provenAt() const { return TimeMs(Impl->ProvenAt); }

void ControlDuty::setOwnState(TargetState State) {
  Impl->Work.postReliably([this, State] { Impl->Core.setOwnState(State); });
}

void ControlDuty::leave() {
  Impl->Work.postReliably([this] { Impl->Core.leave(); });
}

bool ControlDuty::viewCurrent() const {
  const DurationMs SinceTick =
      Clock::monotonic().now() - TimeMs(Impl->LastTick);
  return !Impl->CatchingUp && SinceTick <= Impl->PauseLimit;
}

Version ControlDuty::newestSeenVersion() const {
  std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->NewestSeen;
}

std::optional<Version> ControlDuty::slotVersion(std::string_view Domain,
                                                std::uint32_t Slot) const {
  std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->SpreadCopy.slotVersion(Domain, Slot);
}

bool ControlDuty::hasReachedAllSlots(const Version &Wanted) const {
  std::lock_guard<std::mutex> Lock(Impl->Mutex);
  return Impl->SpreadCopy.hasReachedAllSlots(Wanted);
}

ControlStatus ControlDuty::status() const {
  {
    std::lock_guard<std::mutex> Lock(Impl->Mutex);
    if (Impl->Stopped)
      return Impl->LastStatus;
  }
  auto Answer = std::make_shared<std::promise<ControlStatus>>();
  std::future<ControlStatus> Future = Answer->get_future();
  const bool Posted = Impl->Work.post(
      [this, Answer] { Answer->set_value(Impl->Core.status()); });
  if (!Posted || Future.wait_for(StatusTimeout) != std::future_status::ready)
    return Impl->LastStatus;
  return Future.get();
}

} // namespace fescuewood
