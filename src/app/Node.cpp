#include "app/Node.h"

#include "app/NodeParts.h"
#include "settings/SettingsChange.h"

#include <fmt/format.h>

#include <thread>

namespace fescuewood {

namespace {

constexpr DurationMs DrainPollInterval{20};

/// Time for the leave message to reach other nodes before the peer server
/// stops.
constexpr DurationMs LeavePropagation{400};

/// Time between the latest deadline of a call that is taken during a shutdown
/// and the end of the drain, for its answer.
constexpr DurationMs DrainMargin{200};

/// Time to write the final answers after the remaining calls are cancelled.
constexpr DurationMs FinalAnswerTime{400};

} // namespace

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

bool NodeParts::waitUntilAnswered(TimeMs Deadline) const {
  while (Callers.unansweredCount() > 0 || !Engine.idle()) {
    if (Monotonic.now() >= Deadline)
      return false;
    std::this_thread::sleep_for(
        std::chrono::milliseconds(DrainPollInterval.Value));
  }
  return true;
}

bool NodeParts::drain() {
  Draining = true;
  Recorder.record({EventId::NodeDraining, {}});
  const TimeMs Deadline = Monotonic.now() + Settings.Callers.DrainTimeout;
  Engine.setLeaving(Deadline - DrainMargin);
  // Load balancers must first notice that this node is no longer ready. Until
  // then other nodes keep sending work to its target, which may go on running
  // without this node.
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Settings.Callers.LeaveNotice.Value));
  Control.leave();
  Callers.stopAccepting();
  std::this_thread::sleep_for(
      std::chrono::milliseconds(LeavePropagation.Value));
  // Calls that arrive from now on must end in time, since they would be cut.
  Engine.setDraining(Deadline - DrainMargin);
  const bool AllAnswered = waitUntilAnswered(Deadline);
  Engine.setDraining(Monotonic.now());
  const bool AllRunsEnded = waitUntilAnswered(Deadline);
  if (!AllRunsEnded) {
    // Answers the remaining calls with outcome `unknown`, so that finished
    // answers queued behind them on a connection are sent before it is closed.
    Engine.stop();
    waitUntilAnswered(Monotonic.now() + FinalAnswerTime);
  }
  Recorder.record({EventId::NodeStopped,
                   {{"reason", resultName(AllAnswered && AllRunsEnded
                                              ? ResultCode::Ok
                                              : ResultCode::DeadlineExceeded)
                                   .data()}}});
  stop();
  return AllAnswered && AllRunsEnded;
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
