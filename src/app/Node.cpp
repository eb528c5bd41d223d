#include "app/Node.h"

#include "app/NodeParts.h"
#include "settings/SettingsChange.h"

#include <fmt/format.h>

#include <chrono>
#include <string>
#include <thread>

namespace fescuewood {

bool NodeParts::failStart(ResultCode Reason) {
  LastReason = Reason;
  stop();
  return false;
}

bool NodeParts::startPeerServer() {
  for (PeerKind Kind : CallMessageKinds) {
    Server.handle(Kind, [this, Kind](const PeerIdentity &Sender,
                                     std::string_view Body, ReplyHook Reply) {
      Engine.handlePeer(Kind, Sender, Body, std::move(Reply));
    });
  }
  Server.handle(PeerKind::Tokens,
                [this](const PeerIdentity &Sender, std::string_view Body,
                       const ReplyHook &Reply) {
                  Limiter.handlePeer(Sender, Body, Reply);
                });
  Control.registerWith(Server);
  return Server.start().has_value();
}

bool NodeParts::start() {
  Engine.start();
  if (!startPeerServer())
    return failStart(Server.lastReason());
  if (!Operators.start())
    return failStart(Operators.lastReason());
  if (Ready && !Ready->start())
    return failStart(Ready->lastReason());
  if (!Callers.start())
    return failStart(Callers.lastReason());
  Limiter.start();
  Control.start();
  Reader->start();
  Recorder.record({EventId::NodeStarted,
                   {{"callers", Settings.Callers.Listen.text()},
                    {"peers", Settings.Peers.Listen.text()},
                    {"operators", Settings.Operators.Listen.text()},
                    {"target", Settings.Target.Address.text()}}});
  return true;
}

ShutdownPlan NodeParts::shutdownPlan(TimeMs Start) const {
  return planShutdown({Settings.Callers.LeaveNotice,
                       Settings.Callers.DrainTimeout,
                       fromSeconds(Bounds.read().TerminationGrace)},
                      Start);
}

ShutdownHooks NodeParts::shutdownHooks() {
  ShutdownHooks Hooks;
  Hooks.SetLeaving = [this](TimeMs End) { Engine.setLeaving(End); };
  Hooks.SetDraining = [this](TimeMs End) { Engine.setDraining(End); };
  Hooks.RefuseWaiting = [this] { Engine.refuseWaiting(); };
  Hooks.CutEntered = [this] { Engine.refuseAll(); };
  Hooks.LeaveMesh = [this] { Control.leave(); };
  Hooks.StopAccepting = [this] { Callers.stopAccepting(); };
  Hooks.IsIdle = [this] { return Engine.idle(); };
  Hooks.PendingRequests = [this] { return Callers.pendingCount(); };
  Hooks.OpenConnections = [this] { return Callers.unansweredCount(); };
  Hooks.QueuedPeerBytes = [this] { return Link.Traffic.queuedBytes(); };
  Hooks.Sleep = [](DurationMs Span) {
    std::this_thread::sleep_for(std::chrono::milliseconds(Span.Value));
  };
  Hooks.OnExtended = [this] {
    const CallStatus Calls = Engine.status();
    Recorder.record({EventId::ShutdownExtended,
                     {{"entered", std::to_string(Calls.Entered)},
                      {"running", std::to_string(Calls.InFlight)}}});
  };
  return Hooks;
}

bool NodeParts::drain() {
  Draining = true;
  const TimeMs Start = Monotonic.now();
  const ShutdownPlan Plan = shutdownPlan(Start);
  const auto After = [Start](TimeMs End) {
    return End == Never ? "" : std::to_string((End - Start).Value);
  };
  Recorder.record(
      {EventId::NodeDraining,
       {{"drain_ms", After(Plan.DrainUntil)}, {"cut_ms", After(Plan.CutAt)}}});
  const bool Completed = ShutdownSequence(shutdownHooks(), Monotonic).run(Plan);
  const ResultCode Reason =
      Completed ? ResultCode::Ok : ResultCode::DeadlineExceeded;
  Recorder.record(
      {EventId::NodeStopped, {{"reason", std::string(resultName(Reason))}}});
  stop();
  return Completed;
}

void NodeParts::stop() {
  Reader->stop();
  Callers.stop();
  if (Ready)
    Ready->stop();
  Operators.stop();
  Control.stop();
  Server.stop();
  Engine.stop();
  Target.stop();
  Peers.stop();
  Limiter.stop();
}

void NodeParts::reload(std::string_view Text, std::string_view FileName) {
  if (Text == SettingsText) {
    Recorder.record({EventId::SettingsUnchanged, {}});
    return;
  }
  Problems FoundProblems;
  const auto NewSettings = parseSettings(Text, FileName, FoundProblems);
  if (!NewSettings) {
    Recorder.record(
        {EventId::SettingsRefused, {{"reason", problemsText(FoundProblems)}}});
    return;
  }
  const SettingsChange Change = compareSettings(SettingsText, Text);
  SettingsText = std::string(Text);
  Log.setMinimumLevel(NewSettings->Log.Level);
  Bounds.replace(NewSettings->Bounds);
  Limiter.setBound(rateBound(NewSettings->Bounds));
  Recorder.record(
      {EventId::SettingsTaken,
       {{"taken", fmt::format("{}", fmt::join(Change.Reloadable, ", "))},
        {"needs_restart",
         fmt::format("{}", fmt::join(Change.RestartRequired, ", "))}}});
}

Node::Node(NodeSettings Settings, std::string Text)
    : Parts(std::make_unique<NodeParts>(std::move(Settings), std::move(Text))) {
}

Node::~Node() = default;

bool Node::start() { return Parts->start(); }

void Node::reload(std::string_view Text, std::string_view FileName) {
  Parts->reload(Text, FileName);
}

bool Node::drain() { return Parts->drain(); }

NodeStatus Node::status() const { return Parts->status(); }

ResultCode Node::lastReason() const { return Parts->lastReason(); }

} // namespace fescuewood
