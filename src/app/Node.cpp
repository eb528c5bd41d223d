#include "app/Node.h"

#include "app/NodeParts.h"
#include "settings/SettingsChange.h"

#include <fmt/format.h>

#include <thread>

namespace fescuewood {

namespace {

constexpr DurationMs DrainPoll{20};

/// Time for the news of a leave to reach other nodes before the listener ends.
constexpr DurationMs LeaveSpread{400};

/// Time for the last answers to be written once all that is left is given up.
constexpr DurationMs LastAnswers{400};

} // namespace

bool NodeParts::fail(ResultCode Reason) {
  LastReason = Reason;
  stop();
  return false;
}

bool NodeParts::listenToPeers() {
  for (PeerKind Kind :
       {PeerKind::CallStart, PeerKind::CallFetch, PeerKind::CallCancel}) {
    Server.handle(Kind, [this, Kind](const PeerIdentity &From,
                                     std::string_view Body, ReplyHook Reply) {
      Engine.handlePeer(Kind, From, Body, std::move(Reply));
    });
  }
  Server.handle(PeerKind::Tokens,
                [this](const PeerIdentity &From, std::string_view Body,
                       const ReplyHook &Reply) {
                  Limiter.handlePeer(From, Body, Reply);
                });
  Control.registerWith(Server);
  return Server.start().has_value();
}

bool NodeParts::start() {
  Engine.start();
  if (!listenToPeers())
    return fail(Server.lastReason());
  if (!Operators.start())
    return fail(Operators.lastReason());
  if (Ready && !Ready->start())
    return fail(Ready->lastReason());
  if (!Callers.start())
    return fail(Callers.lastReason());
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

bool NodeParts::waitUntilAnswered(TimeMs Until) const {
  while (Callers.unanswered() > 0 || !Engine.idle()) {
    if (Monotonic.now() >= Until)
      return false;
    std::this_thread::sleep_for(std::chrono::milliseconds(DrainPoll.Value));
  }
  return true;
}

bool NodeParts::drain() {
  Draining = true;
  Recorder.record({EventId::NodeDraining, {}});
  const TimeMs Until = Monotonic.now() + Settings.Callers.DrainTimeout;
  // Whoever sends callers here has to notice first that this node leaves. Its
  // target gets work of other nodes until then: it may well live on.
  std::this_thread::sleep_for(
      std::chrono::milliseconds(Settings.Callers.LeaveNotice.Value));
  Control.leave();
  Callers.stopAccepting();
  std::this_thread::sleep_for(std::chrono::milliseconds(LeaveSpread.Value));
  const bool AllAnswered = waitUntilAnswered(Until);
  Engine.setDraining();
  const bool AllRun = waitUntilAnswered(Until);
  if (!AllRun) {
    // What still runs is answered as unknown, so that answers that are ready
    // behind it on its connection go out before that is closed.
    Engine.stop();
    waitUntilAnswered(Monotonic.now() + LastAnswers);
  }
  Recorder.record({EventId::NodeStopped,
                   {{"reason", resultName(AllAnswered && AllRun
                                              ? ResultCode::Ok
                                              : ResultCode::DeadlineExceeded)
                                   .data()}}});
  stop();
  return AllAnswered && AllRun;
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
  Problems Found;
  const auto Next = parseSettings(Text, FileName, Found);
  if (!Next) {
    Recorder.record(
        {EventId::SettingsRefused, {{"reason", problemsText(Found)}}});
    return;
  }
  const SettingsChange Change = compareSettings(SettingsText, Text);
  SettingsText = std::string(Text);
  Log.setLowest(Next->Log.Level);
  Bounds.replace(Next->Bounds);
  Limiter.setBound(rateBound(Next->Bounds));
  Recorder.record(
      {EventId::SettingsTaken,
       {{"taken", fmt::format("{}", fmt::join(Change.TakenAtOnce, ", "))},
        {"needs_restart",
         fmt::format("{}", fmt::join(Change.NeedRestart, ", "))}}});
}

Node::Node(NodeSettings Settings, std::string Text)
    : State(std::make_unique<NodeParts>(std::move(Settings), std::move(Text))) {
}

Node::~Node() = default;

bool Node::start() { return State->start(); }

void Node::reload(std::string_view Text, std::string_view FileName) {
  State->reload(Text, FileName);
}

bool Node::drain() { return State->drain(); }

NodeStatus Node::status() const { return State->status(); }

ResultCode Node::lastReason() const { return State->lastReason(); }

} // namespace fescuewood
