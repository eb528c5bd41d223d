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

constexpr std::chrono::milliseconds WatchPeriod{100};

} // namespace

/// The table of connections, on the thread of its loop.
class PeerClient::Core {
public:
  Core(PeerLink &Link, PeerClientOptions Options)
      : Link(Link), Options(Options), Loop("peer-client"),
        WatchTimer(Loop.context()) {
    watchLater();
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
  bool makeRoom();
  void retire(const std::string &Address);
  void closeRetired();
  void closeAll();
  void watchLater();
  void watch();
  bool inspect(PeerConnection &Connection);
  void countConnections() { Count = Open.size() + Closing.size(); }

  PeerLink &Link;
  const PeerClientOptions Options;
  const Clock Monotonic = Clock::monotonic();

  std::atomic<std::size_t> InFlight{0};
  std::atomic<std::size_t> Count{0};

  PeerLoop Loop;
  asio::steady_timer WatchTimer;
  std::map<std::string, PeerConnectionPtr> Open; ///< By address.
  /// Out of use, closed once no request waits on them any more.
  std::vector<PeerConnectionPtr> Closing;
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
    // On the loop, so that the hook never runs inside send().
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
  if (Route == PeerRoute::Fresh)
    retire(Address);
  const auto Found = Open.find(Address);
  if (Found != Open.end())
    return Found->second.get();
  if (!makeRoom()) {
    Reason = ResultCode::PeerBusy;
    return nullptr;
  }
  const PeerConnectionLimits Limits{
      Options.ConnectTimeout, Options.HeartbeatAfter, Options.SilenceLimit};
  auto Added = std::make_shared<PeerConnection>(Loop.context(), Link, Limits,
                                                Address, InFlight);
  if (!Added->open()) {
    Reason = ResultCode::PeerUnreachable;
    return nullptr;
  }
  PeerConnection *Connection = (Open[Address] = std::move(Added)).get();
  countConnections();
  return Connection;
}

/// Retires the idlest connection when the table is full; false when every one
/// has requests that wait.
bool PeerClient::Core::makeRoom() {
  if (Open.size() + Closing.size() >= 2 * Options.MaxConnections)
    return false;
  if (Open.size() < Options.MaxConnections)
    return true;
  const PeerConnection *Idlest = nullptr;
  for (const auto &[Address, Connection] : Open) {
    const bool Idle = Connection->inFlight() == 0;
    if (Idle &&
        (Idlest == nullptr || Connection->lastUsed() < Idlest->lastUsed()))
      Idlest = Connection.get();
  }
  if (Idlest == nullptr)
    return false;
  retire(Idlest->address());
  return true;
}

/// Takes a connection out of use; it is closed when its requests have ended.
void PeerClient::Core::retire(const std::string &Address) {
  auto Node = Open.extract(Address);
  if (!Node.empty())
    Closing.push_back(std::move(Node.mapped()));
  closeRetired();
}

void PeerClient::Core::closeRetired() {
  std::erase_if(Closing, [](const PeerConnectionPtr &Connection) {
    if (Connection->inFlight() > 0)
      return false;
    Connection->close(ResultCode::PeerConnectionLost);
    return true;
  });
  countConnections();
}

void PeerClient::Core::watchLater() {
  WatchTimer.expires_after(WatchPeriod);
  WatchTimer.async_wait([this](asio::error_code Error) {
    if (Error || Stopped)
      return;
    watch();
    watchLater();
  });
}

void PeerClient::Core::watch() {
  std::vector<std::string> Unused;
  for (const auto &[Address, Connection] : Open)
    if (!inspect(*Connection))
      Unused.push_back(Address);
  for (const std::string &Address : Unused)
    retire(Address);
  // A retired connection on which requests still wait can go silent too.
  for (const PeerConnectionPtr &Connection : Closing)
    inspect(*Connection);
  closeRetired();
}

/// Sends a heartbeat or drops a silent connection where one is due. Returns
/// whether the connection is still of use.
bool PeerClient::Core::inspect(PeerConnection &Connection) {
  switch (Connection.health()) {
  case PeerHealth::Good:
    return Monotonic.now() - Connection.lastUsed() <= Options.IdleLimit;
  case PeerHealth::NeedsHeartbeat:
    Connection.sendHeartbeat();
    return true;
  case PeerHealth::Unconnected:
    return false;
  case PeerHealth::Silent:
    break;
  }
  Connection.close(ResultCode::PeerSilent);
  if (Link.OnEvent)
    Link.OnEvent(
        {EventId::PeerConnectionDropped, {{"peer", Connection.address()}}});
  return false;
}

void PeerClient::Core::closeAll() {
  Stopped = true;
  WatchTimer.cancel();
  for (const auto &[Address, Connection] : std::exchange(Open, {}))
    Connection->close(ResultCode::Stopped);
  for (const PeerConnectionPtr &Connection : std::exchange(Closing, {}))
    Connection->close(ResultCode::Stopped);
  countConnections();
}

PeerClient::PeerClient(PeerLink &Link, PeerClientOptions Options)
    : Own(std::make_unique<Core>(Link, Options)) {}

PeerClient::~PeerClient() { stop(); }

void PeerClient::send(const PeerRequest &Request,
                      const PeerReplyHook &OnReply) {
  Own->send(Request, OnReply);
}

PeerSend PeerClient::hook() {
  return [this](const PeerRequest &Request, const PeerReplyHook &OnReply) {
    send(Request, OnReply);
  };
}

void PeerClient::stop() { Own->stop(); }

std::size_t PeerClient::connections() const { return Own->connections(); }

} // namespace fescuewood
