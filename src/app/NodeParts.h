/// \file
/// The duties of a node and how they are joined. Internal to the app package.

#ifndef FESCUEWOOD_APP_NODEPARTS_H
#define FESCUEWOOD_APP_NODEPARTS_H

#include "app/CallerBridge.h"
#include "app/Latest.h"
#include "app/TargetAdapter.h"
#include "callers/CallerServer.h"
#include "calls/CallEngine.h"
#include "nodes/ControlDuty.h"
#include "nodes/PeerClient.h"
#include "nodes/PeerServer.h"
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

/// Every duty of a node, in the order in which they depend on each other.
class NodeParts {
public:
  NodeParts(NodeSettings Given, std::string Text);
  ~NodeParts() { stop(); }
  NodeParts(const NodeParts &) = delete;
  NodeParts &operator=(const NodeParts &) = delete;

  /// Listens and starts the duties; false with \ref lastReason.
  bool start();

  /// Finishes what is held; false when some of it had to be cut.
  bool drain();

  /// As \ref Node::reload. From one thread.
  void reload(std::string_view Text, std::string_view FileName);

  NodeStatus status() const;

  ResultCode lastReason() const { return LastReason; }

private:
  CallHooks callHooks();
  ControlHooks controlHooks();
  LimiterHooks limiterHooks();
  PlatformReaderHooks readerHooks();
  StoreLoopHooks storeHooks();
  std::unique_ptr<PlatformReader> makeReader();
  SnapshotPtr compile(const IntentBundle &Bundle, std::string &Why) const;
  bool keysProven() const;
  Pages readyPages();
  Pages pages();
  Page explainPage(const PageQuery &Query) const;

  void putInForce(const SnapshotPtr &Snapshot);
  bool listenToPeers();
  bool fail(ResultCode Reason);
  bool waitUntilAnswered(TimeMs Until) const;
  void stop();

  const NodeSettings Settings;
  std::string SettingsText;
  Latest<BoundSettings> Bounds;
  const HeaderScheme Scheme;
  const std::uint64_t Incarnation;
  const Clock Monotonic = Clock::monotonic();
  const TimeMs Started = Monotonic.now();
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
  std::unique_ptr<StoreLoop> Store; ///< Where a store is followed.
  std::unique_ptr<ReadLoop> Reads;  ///< Where another source is read.
  std::unique_ptr<PlatformReader> Reader;
  OperatorServer Operators;
  std::unique_ptr<OperatorServer> Ready; ///< Null where nobody asks.
};

/// The bound on organisations where no node slots are declared.
RateBound rateBound(const BoundSettings &Settings);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_NODEPARTS_H
