/// \file
/// Components of a node and their connections. Internal to the app package.

#ifndef FESCUEWOOD_APP_NODEPARTS_H
#define FESCUEWOOD_APP_NODEPARTS_H

#include "app/CallerBridge.h"
#include "app/Latest.h"
#include "app/ShutdownSequence.h"
#include "app/TargetAdapter.h"
#include "callers/CallerServer.h"
#include "calls/CallEngine.h"
#include "nodes/ControlDuty.h"
#include "nodes/PeerClient.h"
#include "nodes/PeerServer.h"
#include "nodes/RelayClient.h"
#include "operators/EventRecorder.h"
#include "operators/LogWriter.h"
#include "operators/NodeStatus.h"
#include "operators/OperatorServer.h"
#include "organisations/OrganisationLimiter.h"
#include "settings/NodeSettings.h"
#include "sources/PlatformReader.h"
#include "sources/StoreLoop.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <span>

namespace fescuewood {

/// The components of a node. Members are declared in the order of their
/// dependencies.
class NodeParts {
public:
  NodeParts(NodeSettings InitialSettings, std::string Text);
  ~NodeParts() { stop(); }
  NodeParts(const NodeParts &) = delete;
  NodeParts &operator=(const NodeParts &) = delete;

  /// As \ref Node::start.
  bool start();

  /// As \ref Node::drain.
  bool drain();

  /// As \ref Node::reload. Must be called from one thread.
  void reload(std::string_view Text, std::string_view FileName);

  NodeStatus status() const;

  ResultCode lastReason() const { return LastReason; }

private:
  CallHooks callHooks();
  ControlHooks controlHooks();
  LimiterHooks limiterHooks();
  PlatformReaderHooks readerHooks();
  StoreLoopHooks storeHooks();
  RelayCalls relayCalls();
  std::unique_ptr<PlatformReader> makeReader();
  SnapshotPtr compile(const IntentBundle &Bundle, std::string &Why) const;
  bool keysProven() const;
  Pages readyPages();
  Pages pages();
  Page explainPage(const PageQuery &Query) const;

  void putInForce(const SnapshotPtr &Snapshot);
  bool startPeerServer();
  bool failStart(ResultCode Reason);
  ShutdownHooks shutdownHooks();
  ShutdownPlan shutdownPlan(TimeMs Start) const;
  void stop();

  const NodeSettings Settings;
  std::string SettingsText;
  Latest<BoundSettings> Bounds;
  const HeaderScheme Scheme;
  const std::uint64_t Incarnation;
  const Clock Monotonic = Clock::monotonic();
  const TimeMs Started = Monotonic.now();
  const std::size_t MachineBytes; ///< Memory of the machine; 0 if unknown.
  std::atomic<bool> Draining = false;
  std::atomic<bool> SourceReachable = true;
  Latest<SnapshotPtr> InForce;
  ResultCode LastReason = ResultCode::Ok;

  PeerLink Link;
  LogWriter Log;
  EventRecorder Recorder;
  PeerServer Server;
  PeerClient Peers;
  TargetClient Target;
  TargetAdapter Adapter;
  CallTokenSigner Tokens;
  ControlDuty Control;
  OrganisationLimiter Limiter;
  CallEngine Engine;
  CallerBridge Bridge;
  CallerServer Callers;
  RelayClient Relays;
  std::unique_ptr<StoreLoop> Store;      ///< Set if the platform is a store.
  std::unique_ptr<ReadLoop> SourceReads; ///< Set for all other sources.
  std::unique_ptr<PlatformReader> Reader;
  OperatorServer Operators;
  std::unique_ptr<OperatorServer> Ready; ///< Null without a ready address.
};

/// Rate bound of organisations when no node slots are declared.
RateBound rateBound(const BoundSettings &Settings);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_NODEPARTS_H
