#include "app/Node.h"

#include "app/CallerBridge.h"
#include "app/Latest.h"
#include "app/TargetAdapter.h"
#include "callers/CallerServer.h"
#include "calls/CallEngine.h"
#include "intent/CompileIntent.h"
#include "nodes/PeerClient.h"
#include "nodes/PeerServer.h"
#include "operators/EventRecorder.h"
#include "operators/LogWriter.h"
#include "operators/OperatorServer.h"
#include "platform/PlatformReader.h"

#include <atomic>
#include <random>
#include <thread>

#include <fmt/format.h>

namespace fescuewood {

namespace {

constexpr DurationMs DrainPoll{20};

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

CallerServerOptions callerOptions(const CallerSettings &Settings) {
  CallerServerOptions Options;
  Options.Address = Settings.Listen.Ip;
  Options.Port = Settings.Listen.Port;
  Options.MaxHeaderBytes = Settings.MaxHeaderBytes;
  Options.MaxBodyBytes = Settings.MaxBodyBytes;
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

/// The platform's list as the calls duty wants it; those that leave get no new
/// work.
std::vector<Instance> toInstances(const std::vector<ListedInstance> &Listed) {
  std::vector<Instance> Result;
  for (const ListedInstance &Row : Listed) {
    const TargetState State = Row.State == ListedState::Live
                                  ? TargetState::Ready
                                  : TargetState::Draining;
    Result.push_back(
        {Row.Name, Row.Domain, Row.Service, Row.Slot, Row.PeerAddress, State});
  }
  return Result;
}

} // namespace

/// Every duty, in the order in which they depend on each other.
class Node::Parts {
public:
  explicit Parts(NodeSettings Given)
      : Settings(std::move(Given)), Incarnation(newIncarnation()),
        Log(Settings.Log.Level, Settings.Log.File),
        Recorder(
            Settings.Node.Name, Settings.Node.Domain, RecordedEvents,
            [this] { return Link.Stamps.stamp(); },
            [this](const StampedEvent &Each) { Log.write(Each); }),
        Server(Link, peerOptions()), Peers(Link),
        Target(targetOptions(Settings.Target)),
        Adapter(Target, Settings.Target),
        Tokens(Settings.Peers.Secret, Settings.Node.Name),
        Engine(identity(), CallSettings(), callHooks()),
        Bridge(Engine, RateHook(), Tokens, Recorder.hook()),
        Callers(
            callerOptions(Settings.Callers),
            [this](CallerRequest Request, const AnswerHook &OnAnswer) {
              Bridge.take(std::move(Request), OnAnswer);
            },
            [this](std::uint64_t Number) { Bridge.gone(Number); },
            Recorder.hook()),
        Reader(makeSource(Settings.Platform), Settings.Platform, readerHooks(),
               Incarnation),
        Operators(Settings.Operators.Listen, pages()) {
    Link.Self = {Settings.Node.Name, Incarnation};
    Link.Secret = Settings.Peers.Secret;
    Link.OnEvent = Recorder.hook();
  }

  bool start();
  bool drain();
  NodeStatus status() const;

  ResultCode LastReason = ResultCode::Ok;

private:
  PeerServerOptions peerOptions() const {
    PeerServerOptions Options;
    Options.Address = Settings.Peers.Listen.text();
    return Options;
  }

  CallIdentity identity() const {
    return {Settings.Node.Name, Settings.Node.Domain, Settings.Node.Service,
            Incarnation};
  }

  CallHooks callHooks();
  PlatformReaderHooks readerHooks();
  Pages pages();
  bool listenToPeers();
  bool fail(ResultCode Reason);
  void accept(const IntentBundle &Bundle);
  bool waitUntilAnswered(TimeMs Until) const;
  void stop();

  const NodeSettings Settings;
  const std::uint64_t Incarnation;
  const Clock Monotonic = Clock::monotonic();
  const TimeMs Started = Monotonic.now();
  std::atomic<bool> Draining = false;
  std::atomic<bool> SourceReachable = true;
  Latest<SnapshotPtr> InForce;

  PeerLink Link;
  LogWriter Log;
  EventRecorder Recorder;
  PeerServer Server;
  PeerClient Peers;
  TargetClient Target;
  TargetAdapter Adapter;
  CallTokenSealer Tokens;
  CallEngine Engine;
  CallerBridge Bridge;
  CallerServer Callers;
  PlatformReader Reader;
  OperatorServer Operators;
};

CallHooks Node::Parts::callHooks() {
  CallHooks Hooks;
  Hooks.Send = Peers.hook();
  Hooks.Target = Adapter.port();
  Hooks.OnEvent = Recorder.hook();
  Hooks.OnTargetState = [](TargetState) {};
  Hooks.Random = randomNumbers();
  Hooks.IssueToken = [this](const CallRequest &Request) {
    return Tokens.seal({Request.Organisation, Request.Depth,
                        Monotonic.now() + Request.Remaining, Request.Id});
  };
  return Hooks;
}

PlatformReaderHooks Node::Parts::readerHooks() {
  PlatformReaderHooks Hooks;
  Hooks.AmReader = [] { return true; };
  Hooks.HeldRevision = [this] {
    const SnapshotPtr Now = InForce.read();
    return Now ? Now->Id.Revision : 0;
  };
  Hooks.OnBundle = [this](const IntentBundle &Bundle) { accept(Bundle); };
  Hooks.OnInstances = [this](const InstanceList &Listed) {
    Engine.setInstances(toInstances(Listed.Instances));
  };
  Hooks.OnSourceState = [this](bool Reachable) { SourceReachable = Reachable; };
  Hooks.OnEvent = Recorder.hook();
  return Hooks;
}

void Node::Parts::accept(const IntentBundle &Bundle) {
  const CompiledIntent Compiled = compileIntent(Bundle);
  if (!Compiled.Result)
    return;
  InForce.replace(Compiled.Result);
  Bridge.setSnapshot(Compiled.Result);
  Engine.setSnapshot(Compiled.Result);
}

Pages Node::Parts::pages() {
  return {
      {"/status",
       [this](const PageQuery &) {
         return Page{200, "application/json", statusJson(status())};
       }},
      {"/metrics",
       [this](const PageQuery &) {
         return Page{200, "text/plain; version=0.0.4", metricsText(status())};
       }},
      {"/timeline",
       [this](const PageQuery &) {
         std::string Lines;
         for (const StampedEvent &Each : Recorder.after(0))
           Lines += toJsonLine(Each) + "\n";
         return Page{200, "application/x-ndjson", std::move(Lines)};
       }},
  };
}

bool Node::Parts::fail(ResultCode Reason) {
  LastReason = Reason;
  stop();
  return false;
}

bool Node::Parts::listenToPeers() {
  for (PeerKind Kind :
       {PeerKind::CallStart, PeerKind::CallFetch, PeerKind::CallCancel}) {
    Server.handle(Kind, [this, Kind](const PeerIdentity &From,
                                     std::string_view Body, ReplyHook Reply) {
      Engine.handlePeer(Kind, From, Body, std::move(Reply));
    });
  }
  return Server.start().has_value();
}

bool Node::Parts::start() {
  Engine.start();
  if (!listenToPeers())
    return fail(Server.lastReason());
  if (!Operators.start())
    return fail(Operators.lastReason());
  if (!Callers.start())
    return fail(Callers.lastReason());
  Reader.start();
  Recorder.record({EventId::NodeStarted,
                   {{"callers", Settings.Callers.Listen.text()},
                    {"peers", Settings.Peers.Listen.text()},
                    {"operators", Settings.Operators.Listen.text()},
                    {"target", Settings.Target.Address.text()}}});
  return true;
}

bool Node::Parts::waitUntilAnswered(TimeMs Until) const {
  while (Callers.unanswered() > 0 || !Engine.idle()) {
    if (Monotonic.now() >= Until)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(DrainPoll.Value));
  }
  return true;
}

bool Node::Parts::drain() {
  Draining = true;
  Recorder.record({EventId::NodeDraining, {}});
  const TimeMs Until = Monotonic.now() + Settings.Callers.DrainTimeout;
  Callers.stopAccepting();
  const bool AllAnswered = waitUntilAnswered(Until);
  Engine.setDraining();
  const bool AllRun = waitUntilAnswered(Until);
  Recorder.record({EventId::NodeStopped,
                   {{"reason", resultName(AllAnswered && AllRun
                                              ? ResultCode::Ok
                                              : ResultCode::DeadlineExceeded)
                                   .data()}}});
  stop();
  return AllAnswered && AllRun;
}

void Node::Parts::stop() {
  Reader.stop();
  Callers.stop();
  Operators.stop();
  Server.stop();
  Engine.stop();
  Target.stop();
  Peers.stop();
}

NodeStatus Node::Parts::status() const {
  NodeStatus Status;
  Status.Name = Settings.Node.Name;
  Status.Domain = Settings.Node.Domain;
  Status.Service = Settings.Node.Service;
  Status.Slot = Settings.Node.Slot;
  Status.Incarnation = Incarnation;
  Status.Uptime = Monotonic.now() - Started;
  const SnapshotPtr Now = InForce.read();
  Status.Phase = Draining ? NodePhase::Draining
                 : Now    ? NodePhase::Serving
                          : NodePhase::Starting;
  if (Now) {
    Status.InForce = Now->Id;
    for (const auto &[Name, Of] : Now->Domains)
      Status.Domains.push_back({Name, Of.Region, Of.Status, Of.Nodes});
  }
  Status.SourceReachable = SourceReachable;
  Status.Source = Reader.counts();
  Status.Calls = Engine.status();
  Status.Traffic = Link.Traffic.byKind();
  Status.RefusedMessages = Link.Traffic.refusals();
  Status.PeerConnections = Link.Traffic.connections();
  for (const EventEntry &Entry : eventCatalogue()) {
    if (const std::uint64_t Count = Recorder.count(Entry.Id); Count > 0)
      Status.EventCounts.emplace_back(Entry.Id, Count);
  }
  return Status;
}

Node::Node(NodeSettings Settings)
    : State(std::make_unique<Parts>(std::move(Settings))) {}

Node::~Node() = default;

bool Node::start() { return State->start(); }

bool Node::drain() { return State->drain(); }

NodeStatus Node::status() const { return State->status(); }

ResultCode Node::lastReason() const { return State->LastReason; }

} // namespace fescuewood
