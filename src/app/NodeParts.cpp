#include "app/NodeParts.h"

#include "intent/CompileIntent.h"
#include "platform/ConfigCodec.h"
#include "platform/PlatformScheme.h"
#include "platform/StoreClient.h"

#include <algorithm>
#include <cmath>
#include <random>

namespace fescuewood {

namespace {

/// A number that is larger for a later process of the same place, and differs
/// between two that start in the same millisecond.
std::uint64_t newIncarnation() {
  constexpr unsigned RandomBits = 20;
  std::random_device Random;
  const auto Wall = static_cast<std::uint64_t>(Clock::wall().now().Value);
  return (Wall << RandomBits) | (Random() & ((1U << RandomBits) - 1));
}

std::function<std::uint64_t()> randomNumbers() {
  std::random_device Seed;
  return [Engine = std::mt19937_64((static_cast<std::uint64_t>(Seed()) << 32) |
                                   Seed())]() mutable { return Engine(); };
}

/// Share of the memory for requests that large bodies may take; the rest is
/// left for small requests of callers who stand idle.
constexpr std::size_t LargeBodiesDivisor = 2;

HeaderScheme schemeOf(const NodeSettings &Settings) {
  return followsStore(Settings.Platform) ? platform::headerScheme()
                                         : HeaderScheme();
}

CallerServerOptions callerOptions(const CallerSettings &Settings,
                                  const CallSettings &Calls,
                                  const HeaderScheme &Scheme) {
  CallerServerOptions Options;
  Options.Scheme = Scheme;
  Options.Address = Settings.Listen.Ip;
  Options.Port = Settings.Listen.Port;
  Options.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Options.MaxBodyBytes = Settings.MaxBodyBytes;
  Options.MaxHeldBytes = Calls.MaxHeldBytes / LargeBodiesDivisor;
  Options.MaxConnections = Settings.MaxConnections;
  Options.ReadTimeout = std::min(Settings.ReadTimeout, Settings.IdleTimeout);
  return Options;
}

TargetClientOptions targetOptions(const TargetSettings &Settings,
                                  const HeaderScheme &Scheme) {
  TargetClientOptions Options;
  Options.Scheme = Scheme;
  Options.Address = Settings.Address.text();
  Options.MaxConnections = Settings.MaxConnections;
  Options.ConnectTimeout = Settings.ConnectTimeout;
  return Options;
}

PeerServerOptions peerOptions(const PeerSettings &Settings) {
  PeerServerOptions Options;
  Options.Address = Settings.Listen.text();
  return Options;
}

CallIdentity callIdentity(const NodeSettings &Settings,
                          std::uint64_t Incarnation,
                          const HeaderScheme &Scheme) {
  const NodeIdentity &Node = Settings.Node;
  return {Node.Name,   Node.Domain, Node.Service,
          Incarnation, Scheme,      followsStore(Settings.Platform)};
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
  Result.EveryNodeReads = followsStore(Settings.Platform);
  return Result;
}

/// Share of the time after which a withdrawn key must be dead for which a proof
/// counts; the rest is for a request's way from here to the target.
constexpr double ProofShare = 0.85;

} // namespace

RateBound rateBound(const BoundSettings &Settings) {
  constexpr double MsPerSecond = 1000;
  return {DurationMs(std::llround(Settings.RateWindow * MsPerSecond)),
          Settings.RateOverage, Settings.RateSlack};
}

NodeParts::NodeParts(NodeSettings Given, std::string Text)
    : Settings(std::move(Given)), SettingsText(std::move(Text)),
      Scheme(schemeOf(Settings)), Incarnation(newIncarnation()),
      Log(Settings.Log.Level, Settings.Log.File),
      Recorder(
          Settings.Node.Name, Settings.Node.Domain, RecordedEvents,
          [this] { return Link.StampClock.stamp(); },
          [this](const StampedEvent &Each) { Log.write(Each); }),
      Server(Link, peerOptions(Settings.Peers)), Peers(Link),
      Target(targetOptions(Settings.Target, Scheme)),
      Adapter(Target, Settings.Target, Scheme),
      Tokens(Settings.Peers.Secret, Settings.Node.Name),
      Control(controlSettings(Settings), {Settings.Node.Name, Incarnation},
              controlHooks()),
      Limiter({Settings.Node.Name, Settings.Node.Domain, Settings.Node.Slot,
               Incarnation, rateBound(Settings.Bounds)},
              TokenSettings(), limiterHooks()),
      Engine(callIdentity(Settings, Incarnation, Scheme), Settings.Calls,
             callHooks()),
      Bridge(
          Engine,
          [this](std::string_view Organisation,
                 const RateDecisionHook &OnDecision) {
            Limiter.charge(Organisation, OnDecision);
          },
          Tokens, Recorder.hook(),
          // What a store tells is proven by its age instead.
          [this] {
            return followsStore(Settings.Platform) || Control.viewCurrent();
          },
          [this] { return keysProven(); },
          {Scheme, Settings.Node.Service, Incarnation}),
      Callers(
          callerOptions(Settings.Callers, Settings.Calls, Scheme),
          [this](CallerRequest Request, const AnswerHook &OnAnswer) {
            Bridge.take(std::move(Request), OnAnswer);
          },
          [this](std::uint64_t Number) { Bridge.gone(Number); },
          Recorder.hook()),
      Reader(makeReader()), Operators(Settings.Operators.Listen, pages()) {
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
  Hooks.Send = Peers.hook();
  Hooks.Target = Adapter.port();
  Hooks.OnEvent = Recorder.hook();
  Hooks.OnTargetState = [this](TargetState State) {
    Control.setOwnState(State);
  };
  Hooks.Random = randomNumbers();
  Hooks.IssueToken = [this](const CallRequest &Request) {
    return Tokens.issue({Request.Organisation, Request.Depth,
                         Monotonic.now() + Request.Remaining, Request.Id});
  };
  return Hooks;
}

ControlHooks NodeParts::controlHooks() {
  ControlHooks Hooks;
  Hooks.Send = Peers.hook();
  Hooks.Compile = [this](const IntentBundle &Bundle, std::string &Why) {
    return compile(Bundle, Why);
  };
  Hooks.OnSnapshot = [this](const SnapshotPtr &Snapshot) {
    putInForce(Snapshot);
  };
  Hooks.OnInstances = [this](std::span<const Instance> Seen) {
    Limiter.setInstances(Seen);
    Engine.setInstances({Seen.begin(), Seen.end()});
  };
  Hooks.OnEvent = Recorder.hook();
  return Hooks;
}

LimiterHooks NodeParts::limiterHooks() {
  LimiterHooks Hooks;
  Hooks.Send = Peers.hook();
  Hooks.OnEvent = Recorder.hook();
  // What control knows of a slot is a version that was in force here as well,
  // and from Since on all of those have the same division. Knowledge from
  // before a pause does not count.
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
  Hooks.OnProof = [this](TimeMs At, std::uint64_t Revision) {
    Control.offerProof(At, Revision);
  };
  Hooks.OnSourceState = [this](bool Reachable) { SourceReachable = Reachable; };
  Hooks.OnEvent = Recorder.hook();
  return Hooks;
}

std::unique_ptr<PlatformReader> NodeParts::makeReader() {
  const PlatformSettings &From = Settings.Platform;
  if (followsStore(Settings.Platform)) {
    StoreCalls Calls = platform::storeCalls(From.Source.Server, From.Timeout,
                                            Settings.Peers.Listen.Port);
    auto Cancel = Calls.Cancel;
    Store = std::make_unique<StoreLoop>(
        std::move(Calls),
        OwnTarget{Settings.Target.Address.text(), Settings.Node.Service},
        From.WatchWait, storeHooks(), Clock::monotonic(), Incarnation);
    return std::make_unique<PlatformReader>([this] { return Store->step(); },
                                            std::move(Cancel));
  }
  PlatformSource Source = makeSource(From);
  auto Cancel = Source.Cancel;
  Reads = std::make_unique<ReadLoop>(std::move(Source), From, readerHooks(),
                                     Clock::monotonic(), Incarnation);
  return std::make_unique<PlatformReader>([this] { return Reads->step(); },
                                          std::move(Cancel));
}

SnapshotPtr NodeParts::compile(const IntentBundle &Bundle,
                               std::string &Why) const {
  if (followsStore(Settings.Platform))
    return platform::compileConfiguration(Bundle, Settings.Platform.Regions,
                                          Why);
  CompiledIntent Compiled = compileIntent(Bundle);
  if (!Compiled.Result)
    Why = problemsText(Compiled.Found);
  return Compiled.Result;
}

/// Whether a key that passes here cannot have been withdrawn for too long.
bool NodeParts::keysProven() const {
  constexpr double MsPerSecond = 1000;
  const double Withdrawal = Bounds.read().KeyWithdrawal;
  if (!followsStore(Settings.Platform) || Withdrawal <= 0)
    return true;
  const TimeMs ProvenAt = Control.provenAt();
  const DurationMs Most(std::llround(Withdrawal * MsPerSecond * ProofShare));
  return ProvenAt != TimeMs(0) && Monotonic.now() - ProvenAt <= Most;
}

void NodeParts::putInForce(const SnapshotPtr &Snapshot) {
  const auto Own = Snapshot->Services.find(Settings.Node.Service);
  if (Own != Snapshot->Services.end())
    Adapter.setProbePath(Own->second.HealthPath);
  InForce.replace(Snapshot);
  Bridge.setSnapshot(Snapshot);
  Engine.setSnapshot(Snapshot);
  Limiter.setSnapshot(Snapshot);
  Callers.setLimits(Snapshot->Limits);
}

} // namespace fescuewood
