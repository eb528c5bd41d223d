#include "app/NodeParts.h"

#include "intent/CompileIntent.h"

#include <algorithm>
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

CallerServerOptions callerOptions(const CallerSettings &Settings,
                                  const CallSettings &Calls) {
  CallerServerOptions Options;
  Options.Address = Settings.Listen.Ip;
  Options.Port = Settings.Listen.Port;
  Options.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Options.MaxBodyBytes = Settings.MaxBodyBytes;
  Options.MaxHeldBytes = Calls.MaxHeldBytes / LargeBodiesDivisor;
  Options.MaxConnections = Settings.MaxConnections;
  Options.ReadTimeout = std::min(Settings.ReadTimeout, Settings.IdleTimeout);
  return Options;
}

TargetClientOptions targetOptions(const TargetSettings &Settings) {
  TargetClientOptions Options;
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

CallIdentity callIdentity(const NodeIdentity &Node, std::uint64_t Incarnation) {
  return {Node.Name, Node.Domain, Node.Service, Incarnation};
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
  return Result;
}

SnapshotPtr compileOrExplain(const IntentBundle &Bundle, std::string &Why) {
  CompiledIntent Compiled = compileIntent(Bundle);
  if (!Compiled.Result)
    Why = problemsText(Compiled.Found);
  return Compiled.Result;
}

} // namespace

NodeParts::NodeParts(NodeSettings Given)
    : Settings(std::move(Given)), Incarnation(newIncarnation()),
      Log(Settings.Log.Level, Settings.Log.File),
      Recorder(
          Settings.Node.Name, Settings.Node.Domain, RecordedEvents,
          [this] { return Link.Stamps.stamp(); },
          [this](const StampedEvent &Each) { Log.write(Each); }),
      Server(Link, peerOptions(Settings.Peers)), Peers(Link),
      Target(targetOptions(Settings.Target)), Adapter(Target, Settings.Target),
      Tokens(Settings.Peers.Secret, Settings.Node.Name),
      Control(controlSettings(Settings), {Settings.Node.Name, Incarnation},
              controlHooks()),
      Limiter({Settings.Node.Name, Settings.Node.Domain, Settings.Node.Slot,
               Incarnation},
              TokenSettings(), limiterHooks()),
      Engine(callIdentity(Settings.Node, Incarnation), Settings.Calls,
             callHooks()),
      Bridge(
          Engine,
          [this](std::string_view Organisation,
                 const RateDecisionHook &OnDecision) {
            Limiter.charge(Organisation, OnDecision);
          },
          Tokens, Recorder.hook(), [this] { return Control.viewCurrent(); }),
      Callers(
          callerOptions(Settings.Callers, Settings.Calls),
          [this](CallerRequest Request, const AnswerHook &OnAnswer) {
            Bridge.take(std::move(Request), OnAnswer);
          },
          [this](std::uint64_t Number) { Bridge.gone(Number); },
          Recorder.hook()),
      Reader(makeSource(Settings.Platform), Settings.Platform, readerHooks(),
             Incarnation),
      Operators(Settings.Operators.Listen, pages()) {
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
    return Tokens.seal({Request.Organisation, Request.Depth,
                        Monotonic.now() + Request.Remaining, Request.Id});
  };
  return Hooks;
}

ControlHooks NodeParts::controlHooks() {
  ControlHooks Hooks;
  Hooks.Send = Peers.hook();
  Hooks.Compile = compileOrExplain;
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
  Hooks.AgreedEverywhere = [this](const ShareMark &Mark) {
    return Control.viewCurrent() && Control.everySlotAt(Mark.Since);
  };
  return Hooks;
}

PlatformReaderHooks NodeParts::readerHooks() {
  PlatformReaderHooks Hooks;
  Hooks.AmReader = [this] { return Control.amReader(); };
  Hooks.HeldVersion = [this] { return Control.heldVersion(); };
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

void NodeParts::putInForce(const SnapshotPtr &Snapshot) {
  InForce.replace(Snapshot);
  Bridge.setSnapshot(Snapshot);
  Engine.setSnapshot(Snapshot);
  Limiter.setSnapshot(Snapshot);
}

} // namespace fescuewood
