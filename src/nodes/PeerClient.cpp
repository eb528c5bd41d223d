#include "nodes/PeerClient.h"

#include "nodes/PeerConnection.h"
#include "nodes/PeerLoop.h"

#include <atomic>
#include <chrono>
#include <map>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

constexpr std::chrono::milliseconds InspectionPeriod{100};

} // namespace

/// Table of connections. Private functions run on the loop's thread only.
class PeerClient::Core {
public:
  Core(PeerLink &Link, PeerClientOptions Options)
      : Link(Link), Options(Options), Loop("peer-client"),
        InspectionTimer(Loop.context()) {
    scheduleInspection();
    Loop.start();
  }

  void send(const PeerRequest &Request, const PeerReplyHook &OnReply);
  void stop() {
    Loop.stop([this] { closeAll(); });
  }
  std::size_t connections() const { return Count; }

private:
  void sendOnLoop(const std::string &Address, PeerRoute Route,
                  SealedRequest Request);
  PeerConnection *connectionFor(const std::string &Address, PeerRoute Route,
                                ResultCode &Reason);
  bool ensureCapacity();
  void retire(const std::string &Address);
  void closeRetired();
  void closeAll();
  void scheduleInspection();
  void inspectAll();
  bool inspect(PeerConnection &Connection);
  void countConnections() { Count = Open.size() + Retired.size(); }

  PeerLink &Link;
  const PeerClientOptions Options;
  const Clock Monotonic = Clock::monotonic();

  std::atomic<std::size_t> InFlight{0};
  std::atomic<std::size_t> Count{0};

  PeerReceiving Receiving;
  PeerLoop Loop;
  asio::steady_timer InspectionTimer;
  std::map<std::string, PeerConnectionPtr> Open; ///< By address.
  /// Retired connections; closed once they have no pending requests.
  std::vector<PeerConnectionPtr> Retired;
  bool Stopped = false;
};

void PeerClient::Core::send(const PeerRequest &Request,
                            const PeerReplyHook &OnReply) {
  ResultCode Reason = ResultCode::Ok;
  if (Request.Body.size() > MaxPeerBodyBytes)
    Reason = ResultCode::PeerMessageTooLarge;
  else if (InFlight >= Options.MaxInFlight)
    Reason = ResultCode::PeerBusy;
  if (Reason != ResultCode::Ok) {
    // Posted to the loop, so that the hook is never called inside send().
    const PeerReply Refusal{std::nullopt, {}, Reason};
    if (!Loop.post([OnReply, Refusal] { OnReply(Refusal); }))
      OnReply(Refusal);
    return;
  }
  ++InFlight;
  SealedRequest Sealed{
      Request.Kind, Request.Timeout,
      Link.seal(Request.Kind, PeerPhase::Request, Request.Body), OnReply};
  const bool Posted =
      Loop.post([this, Address = Request.Address, Route = Request.Route,
                 Sealed = std::move(Sealed)]() mutable {
        sendOnLoop(Address, Route, std::move(Sealed));
      });
  if (Posted)
    return;
  --InFlight;
  OnReply({std::nullopt, {}, ResultCode::Stopped});
}

void PeerClient::Core::sendOnLoop(const std::string &Address, PeerRoute Route,
                                  SealedRequest Request) {
  ResultCode Reason = ResultCode::Ok;
  PeerConnection *Connection = connectionFor(Address, Route, Reason);
  if (Connection != nullptr) {
    Connection->send(std::move(Request));
    return;
  }
  --InFlight;
  Request.OnReply({std::nullopt, {}, Reason});
}

PeerConnection *PeerClient::Core::connectionFor(const std::string &Address,
                                                PeerRoute Route,
                                                ResultCode &Reason) {
  const auto It = Open.find(Address);
  if (It != Open.end()) {
    if (Route == PeerRoute::Reuse || It->second->isFresh())
      return It->second.get();
    retire(Address);
  }
  if (!ensureCapacity()) {
    Reason = ResultCode::PeerBusy;
    return nullptr;
  }
  const PeerConnectionLimits Limits{
      Options.ConnectTimeout, Options.HeartbeatAfter, Options.SilenceLimit};
  auto NewConnection = std::make_shared<PeerConnection>(
      Loop.context(), Link, Limits, Address, Route, InFlight, Receiving);
  if (!NewConnection->open()) {
    Reason = ResultCode::PeerUnreachable;
    return nullptr;
  }
  PeerConnection *Connection = (Open[Address] = std::move(NewConnection)).get();
  countConnections();
  return Connection;
}

/// Retires the least recently used idle connection when the table is full.
/// Returns false when every connection has pending requests.
bool PeerClient::Core::ensureCapacity() {
  if (Open.size() + Retired.size() >= 2 * Options.MaxConnections)
    return false;
  if (Open.size() < Options.MaxConnections)
    return true;
  const PeerConnection *LeastRecentlyUsed = nullptr;
  for (const auto &[Address, Connection] : Open) {
    const bool Idle = Connection->inFlight() == 0;
    if (Idle && (LeastRecentlyUsed == nullptr ||
                 Connection->lastUsed() < LeastRecentlyUsed->lastUsed()))
      LeastRecentlyUsed = Connection.get();
  }
  if (LeastRecentlyUsed == nullptr)
    return false;
  retire(LeastRecentlyUsed->address());
  return true;
}

/// Takes a connection out of use; it is closed once its requests have ended.
void PeerClient::Core::retire(const std::string &Address) {
  auto Node = Open.extract(Address);
  if (!Node.empty())
    Retired.push_back(std::move(Node.mapped()));
  closeRetired();
}

void PeerClient::Core::closeRetired() {
  std::erase_if(Retired, [](const PeerConnectionPtr &Connection) {
    if (Connection->inFlight() > 0)
      return false;
    Connection->close(ResultCode::PeerConnectionLost);
    return true;
  });
  countConnections();
}

void PeerClient::Core::scheduleInspection() {
  InspectionTimer.expires_after(InspectionPeriod);
  InspectionTimer.async_wait([this](asio::error_code Error) {
    if (Error || Stopped)
      return;
    inspectAll();
    scheduleInspection();
  });
}

void PeerClient::Core::inspectAll() {
  std::vector<std::string> Unused;
  for (const auto &[Address, Connection] : Open)
    if (!inspect(*Connection))
      Unused.push_back(Address);
  for (const std::string &Address : Unused)
    retire(Address);
  // A retired connection with pending requests can go silent too.
  for (const PeerConnectionPtr &Connection : Retired)
    inspect(*Connection);
  closeRetired();
}

/// Sends a heartbeat if one is due and drops a silent connection. Returns
/// whether the connection remains usable.
bool PeerClient::Core::inspect(PeerConnection &Connection) {
  Connection.observeDelivery();
  switch (Connection.health()) {
  case PeerHealth::Healthy:
    return Monotonic.now() - Connection.lastUsed() <= Options.IdleLimit;
  case PeerHealth::NeedsHeartbeat:
    Connection.sendHeartbeat();
    return true;
  case PeerHealth::Disconnected:
    return false;
  case PeerHealth::Silent:
    break;
  }
  if (Link.OnEvent)
    Link.OnEvent({EventId::PeerConnectionDropped, Connection.eventFields()});
  Connection.close(ResultCode::PeerSilent);
  return false;
}

void PeerClient::Core::closeAll() {
  Stopped = true;
  InspectionTimer.cancel();
  for (const auto &[Address, Connection] : std::exchange(Open, {}))
    Connection->close(ResultCode::Stopped);
  for (const PeerConnectionPtr &Connection : std::exchange(Retired, {}))
    Connection->close(ResultCode::Stopped);
  countConnections();
}

PeerClient::PeerClient(PeerLink &Link, PeerClientOptions Options)
    : Implementation(std::make_unique<Core>(Link, Options)) {}

PeerClient::~PeerClient() { stop(); }

void PeerClient::send(const PeerRequest &Request,
                      const PeerReplyHook &OnReply) {
  Implementation->send(Request, OnReply);
}

PeerSend PeerClient::sendHook() {
  return [this](const PeerRequest &Request, const PeerReplyHook &OnReply) {
    send(Request, OnReply);
  };
}

void PeerClient::stop() { Implementation->stop(); }

std::size_t PeerClient::connections() const {
  return Implementation->connections();
}

} // namespace fescuewood
