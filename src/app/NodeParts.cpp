#include "app/NodeParts.h"

#include "core/ProcessMemory.h"
#include "intent/CompileIntent.h"
#include "platform/ConfigCodec.h"
#include "platform/PlatformScheme.h"
#include "platform/StoreClient.h"
#include "policy/AnswerMemory.h"
#include "policy/ClientMemory.h"

#include <algorithm>
#include <random>

namespace fescuewood {

namespace {

/// Returns a number that increases with each restart of a node and differs
/// between two processes that start in the same millisecond.
std::uint64_t newIncarnation() {
  constexpr unsigned RandomBits = 20;
  std::random_device Random;
  const auto WallMs = static_cast<std::uint64_t>(Clock::wall().now().Value);
  return (WallMs << RandomBits) | (Random() & ((1U << RandomBits) - 1));
}

std::function<std::uint64_t()> randomNumbers() {
  std::random_device Seed;
  return [Engine = std::mt19937_64((static_cast<std::uint64_t>(Seed()) << 32) |
                                   Seed())]() mutable { return Engine(); };
}

/// Divisor of the memory for requests that gives the share for large bodies;
/// the rest is reserved for small requests on connections that are now idle.
constexpr std::size_t LargeBodiesDivisor = 2;

/// Memory of the machine in bytes; 0 if unknown.
std::size_t memoryOfMachine(const NodeIdentity &Node) {
  constexpr std::size_t BytesPerMb = 1'000'000;
  return Node.MemoryMb > 0 ? Node.MemoryMb * BytesPerMb
                           : machineMemory().value_or(0);
}

HeaderScheme selectScheme(const NodeSettings &Settings) {
  return isStorePlatform(Settings.Platform) ? platform::headerScheme()
                                            : HeaderScheme();
}

CallerServerOptions callerOptions(const NodeSettings &Node,
                                  const HeaderScheme &Scheme,
                                  std::size_t MachineBytes) {
  const CallerSettings &Settings = Node.Callers;
  const std::size_t MaxDescriptors = Node.Node.MaxDescriptors > 0
                                         ? Node.Node.MaxDescriptors
                                         : descriptorLimit().value_or(0);
  const ClientLimits Limits =
      clientLimits({MachineBytes, Settings.MemoryShare, MaxDescriptors,
                    Settings.MaxConnections});
  CallerServerOptions Options;
  Options.Scheme = Scheme;
  Options.Address = Settings.Listen.Ip;
  Options.Port = Settings.Listen.Port;
  Options.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Options.MaxBodyBytes = Settings.MaxBodyBytes;
  Options.MaxHeldBytes =
      std::min(Node.Calls.MaxHeldBytes, Limits.MaxBytes) / LargeBodiesDivisor;
  Options.MaxConnections = Limits.MaxConnections;
  Options.MaxClientBytes = Limits.MaxBytes;
  Options.ReadTimeout = std::min(Settings.ReadTimeout, Settings.IdleTimeout);
  Options.Transfers = {Settings.MinRate, Settings.RateWindow,
                       Settings.MinBodyTime, Settings.MaxBodyTime};
  return Options;
}

TargetClientOptions targetOptions(const TargetSettings &Settings,
                                  const CallSettings &Calls,
                                  const HeaderScheme &Scheme,
                                  std::size_t MachineBytes) {
  TargetClientOptions Options;
  Options.Scheme = Scheme;
  Options.Address = Settings.Address.text();
  Options.MaxConnections = Settings.MaxConnections;
  Options.ConnectTimeout = Settings.ConnectTimeout;
  Options.MaxReceivingBytes = answerMemoryLimit(
      Calls.MaxKeptBytes, Calls.AnswerMemoryShare, MachineBytes);
  return Options;
}

PeerServerOptions peerOptions(const PeerSettings &Settings) {
  PeerServerOptions Options;
  Options.Address = Settings.Listen.text();
  return Options;
}

CallIdentity callIdentity(const NodeSettings &Settings,
                          std::uint64_t Incarnation, const HeaderScheme &Scheme,
                          std::size_t MachineBytes) {
  const NodeIdentity &Node = Settings.Node;
  return {Node.Name,   Node.Domain, Node.Service,
          Incarnation, Scheme,      isStorePlatform(Settings.Platform),
          MachineBytes};
}

ControlSettings controlSettings(const NodeSettings &Settings) {
  ControlSettings Result;
  const PeerSettings &Peers = Settings.Peers;
  Result.Self = {Settings.Node.Name,
                 Settings.Node.Domain,
                 Settings.Node.Service,
                 Settings.Node.Slot,
                 Peers.Advertise.value_or(Peers.Listen).text(),
                 TargetState::Cold};
  for (const Endpoint &Seed : Settings.Peers.Seeds)
    Result.Seeds.push_back(Seed.text());
  Result.EachNodeMayRead = isStorePlatform(Settings.Platform);
  return Result;
}

/// Share of the key withdrawal time during which a proof is valid; the rest
/// covers the transfer of a request from this node to the target.
constexpr double ProofValidityShare = 0.85;

} // namespace

RateBound rateBound(const BoundSettings &Settings) {
  return {fromSeconds(Settings.RateWindow), Settings.RateOverage,
          Settings.RateSlack};
}

NodeParts::NodeParts(NodeSettings InitialSettings, std::string Text)
    : Settings(std::move(InitialSettings)), SettingsText(std::move(Text)),
      Scheme(selectScheme(Settings)), Incarnation(newIncarnation()),
      MachineBytes(memoryOfMachine(Settings.Node)),
      Log(Settings.Log.Level, Settings.Log.File),
      Recorder(
          Settings.Node.Name, Settings.Node.Domain, MaxRecentEvents,
          [this] { return Link.StampClock.stamp(); },
          [this](const StampedEvent &Event) { Log.write(Event); }),
      Server(Link, peerOptions(Settings.Peers)), Peers(Link),
      Target(
          targetOptions(Settings.Target, Settings.Calls, Scheme, MachineBytes)),
      Adapter(Target, Settings.Target, Scheme),
      Tokens(Settings.Peers.Secret, Settings.Node.Name),
      Control(controlSettings(Settings), {Settings.Node.Name, Incarnation},
              controlHooks()),
      Limiter({Settings.Node.Name, Settings.Node.Domain, Settings.Node.Slot,
               Incarnation, rateBound(Settings.Bounds)},
              TokenSettings(), limiterHooks()),
      Engine(callIdentity(Settings, Incarnation, Scheme, MachineBytes),
             Settings.Calls, callHooks()),
      Bridge(
          Engine,
          [this](std::string_view Organisation,
                 const RateDecisionHook &OnDecision) {
            Limiter.charge(Organisation, OnDecision);
          },
          [this](std::string_view Organisation, const RateDecision &Decision) {
            Limiter.giveBack(Organisation, Decision);
          },
          Tokens, Recorder.hook(),
          // With a store, the age of the proof is checked instead (keysProven).
          [this] {
            return isStorePlatform(Settings.Platform) || Control.viewCurrent();
          },
          [this] { return keysProven(); },
          {Scheme, Settings.Node.Service, Incarnation}),
      Callers(
          callerOptions(Settings, Scheme, MachineBytes),
          [this](CallerRequest Request, const AnswerHook &OnAnswer) {
            Bridge.onRequest(std::move(Request), OnAnswer);
          },
          [this](std::uint64_t Number) { Bridge.onDisconnect(Number); },
          Recorder.hook()),
      Relays(Peers.sendHook()), Reader(makeReader()),
      Operators(Settings.Operators.Listen, pages()) {
  if (Settings.Operators.Ready)
    Ready = std::make_unique<OperatorServer>(*Settings.Operators.Ready,
                                             readyPages());
  Bounds.replace(Settings.Bounds);
  Link.Self = {Settings.Node.Name, Incarnation};
  Link.SourceIp = Settings.Node.Address;
  Link.Secret = Settings.Peers.Secret;
  Link.OnEvent = Recorder.hook();
}

CallHooks NodeParts::callHooks() {
  CallHooks Hooks;
  Hooks.Send = Peers.sendHook();
  Hooks.Target = Adapter.port();
  Hooks.OnEvent = Recorder.hook();
  Hooks.OnTargetState = [this](TargetState State) {
    Control.setOwnState(State);
  };
  Hooks.Random = randomNumbers();
  Hooks.ResidentMemory = &residentMemory;
  Hooks.IssueToken = [this](const CallRequest &Request) {
    return Tokens.issue({Request.Organisation, Request.Depth,
                         Monotonic.now() + Request.Remaining, Request.Id});
  };
  return Hooks;
}

ControlHooks NodeParts::controlHooks() {
  ControlHooks Hooks;
  Hooks.Send = Peers.sendHook();
  Hooks.Compile = [this](const IntentBundle &Bundle, std::string &Error) {
    return compile(Bundle, Error);
  };
  Hooks.OnSnapshot = [this](const SnapshotPtr &Snapshot) {
    putInForce(Snapshot);
  };
  Hooks.OnInstances = [this](std::span<const Instance> Instances) {
    Limiter.setInstances(Instances);
    Engine.setInstances({Instances.begin(), Instances.end()});
  };
  Hooks.OnOwnListing = [this](const MemberListing &Newest) {
    Engine.setOwnReport(Newest);
  };
  Hooks.OnEvent = Recorder.hook();
  return Hooks;
}

LimiterHooks NodeParts::limiterHooks() {
  LimiterHooks Hooks;
  Hooks.Send = Peers.sendHook();
  Hooks.OnEvent = Recorder.hook();
  // The version that control knows for a slot was in force on this node too,
  // and all versions from Since on divide the rates in the same way. A view
  // from before a pause of the process is not current.
  Hooks.AgreedEverywhere = [this](const DivisionRun &Mark) {
    return Control.viewCurrent() && Control.hasReachedAllSlots(Mark.Since);
  };
  return Hooks;
}

PlatformReaderHooks NodeParts::readerHooks() {
  PlatformReaderHooks Hooks;
  Hooks.IsReader = [this] { return Control.isReader(); };
  Hooks.NewestSeenVersion = [this] { return Control.newestSeenVersion(); };
  Hooks.OnBundle = [this](IntentBundle Bundle) {
    Control.offerBundle(std::move(Bundle));
  };
  Hooks.OnInstances = [this](InstanceList List) {
    Control.offerInstances(std::move(List));
  };
  Hooks.OnSourceState = [this](bool Reachable) { SourceReachable = Reachable; };
  Hooks.OnEvent = Recorder.hook();
  return Hooks;
}

StoreLoopHooks NodeParts::storeHooks() {
  StoreLoopHooks Hooks;
  Hooks.OnBundle = [this](IntentBundle Bundle) {
    Control.offerBundle(std::move(Bundle));
  };
  Hooks.OnInstances = [this](InstanceList List) {
    Control.offerInstances(std::move(List));
  };
  Hooks.OnOwnTarget = [this](std::optional<ListedInstance> Listed) {
    Engine.setOwnTarget(std::move(Listed));
  };
  Hooks.OnProof = [this](TimeMs At, std::uint64_t Revision,
                         std::uint64_t Number) {
    Control.offerProof(At, Revision, Number);
  };
  Hooks.OnSourceState = [this](bool Reachable) {
    SourceReachable = Reachable;
    if (!Reachable)
      Control.onSourceLost();
  };
  Hooks.OnReplicated = [this](ReplicaUpdate Update) {
    Control.offerReplica(std::move(Update));
  };
  Hooks.OnEvent = Recorder.hook();
  return Hooks;
}

RelayCalls NodeParts::relayCalls() {
  RelayCalls Result;
  Result.IsReader = [this] { return Control.isReader(); };
  Result.Addresses = [this] { return Control.relays(); };
  Result.Read = [this](const std::string &Address, std::uint64_t After,
                       DurationMs Wait) {
    return Relays.read(Address, After, Wait);
  };
  return Result;
}

std::unique_ptr<PlatformReader> NodeParts::makeReader() {
  const PlatformSettings &Platform = Settings.Platform;
  if (isStorePlatform(Settings.Platform)) {
    StoreCalls Calls =
        platform::storeCalls(Platform.Source.Server, Platform.Timeout,
                             Settings.Peers.Listen.Port, Recorder.hook());
    auto Cancel = Calls.Cancel;
    const DurationMs ApplyBound = fromSeconds(Settings.Bounds.ChangeApply);
    Store = std::make_unique<StoreLoop>(
        std::move(Calls),
        OwnTarget{Settings.Target.Address.text(), Settings.Node.Service},
        WatchTiming{Platform.WatchWait, watchPeriod(ApplyBound)}, storeHooks(),
        Clock::monotonic(), Incarnation, relayCalls());
    return std::make_unique<PlatformReader>([this] { return Store->step(); },
                                            [this, Cancel = std::move(Cancel)] {
                                              Relays.cancel();
                                              Cancel();
                                            });
  }
  PlatformSource Source = makeSource(Platform);
  auto Cancel = Source.Cancel;
  SourceReads =
      std::make_unique<ReadLoop>(std::move(Source), Platform, readerHooks(),
                                 Clock::monotonic(), Incarnation);
  return std::make_unique<PlatformReader>(
      [this] { return SourceReads->step(); }, std::move(Cancel));
}

SnapshotPtr NodeParts::compile(const IntentBundle &Bundle,
                               std::string &Error) const {
  if (isStorePlatform(Settings.Platform))
    return platform::compileConfiguration(Bundle, Settings.Platform.Regions,
                                          Error);
  CompiledIntent Compiled = compileIntent(Bundle);
  if (!Compiled.Result)
    Error = problemsText(Compiled.Found);
  return Compiled.Result;
}

/// Whether the last proof is recent enough that no key accepted now can have
/// been withdrawn for longer than the configured bound.
bool NodeParts::keysProven() const {
  const double Withdrawal = Bounds.read().KeyWithdrawal;
  if (!isStorePlatform(Settings.Platform) || Withdrawal <= 0)
    return true;
  const TimeMs ProvenAt = Control.provenAt();
  const DurationMs MaxProofAge = fromSeconds(Withdrawal * ProofValidityShare);
  return ProvenAt != TimeMs(0) && Monotonic.now() - ProvenAt <= MaxProofAge;
}

void NodeParts::putInForce(const SnapshotPtr &Snapshot) {
  const auto OwnService = Snapshot->Services.find(Settings.Node.Service);
  if (OwnService != Snapshot->Services.end())
    Adapter.setProbePath(OwnService->second.HealthPath);
  InForce.replace(Snapshot);
  Engine.setSnapshot(Snapshot);
  Limiter.setSnapshot(Snapshot);
  Callers.setLimits(Snapshot->Limits);
  // Last: what the entry accepts under a version must be known to the others.
  Bridge.setSnapshot(Snapshot);
}

} // namespace fescuewood
