#include "nodes/PeerClient.h"

#include "core/Duty.h"
#include "nodes/PeerConnection.h"

#include <atomic>
#include <chrono>
#include <iterator>
#include <map>
#include <mutex>
#include <thread>
#include <utility>
#include <vector>

namespace fescuewood {

namespace {

constexpr DurationMs WatchPeriod{100};
constexpr std::size_t WatchRingSize = 4096;

using ConnectionPtr = std::unique_ptr<PeerConnection>;

} // namespace

/// The table of connections and the duty that watches them. Connections are
/// closed and destroyed on that duty only, as both wait for callbacks of nng.
class PeerClient::Core {
public:
  Core(PeerLink &Link, PeerClientOptions Options)
      : Link(Link), Options(Options), Watch("peer-client", WatchRingSize) {
    Watch.start(WatchPeriod, [this] { watch(); });
  }

  void send(const PeerRequest &Request, PeerReplyHook OnReply);
  void stop();
  std::size_t connections() const;

private:
  struct Retired {
    ConnectionPtr Connection;
    ResultCode Why;
    bool CloseNow; ///< Otherwise only when no request waits any more.
    bool Closed = false;
  };

  PeerConnection *reserve(const PeerRequest &Request, ResultCode &Reason);
  PeerConnection *connectionFor(const PeerRequest &Request, ResultCode &Reason);
  bool makeRoom();
  void retire(const std::string &Address, ResultCode Why, bool CloseNow);
  void refuse(const PeerReplyHook &OnReply, ResultCode Reason);
  void watch();
  void inspect();
  void closeRetired();

  PeerLink &Link;
  const PeerClientOptions Options;
  const Clock Monotonic = Clock::monotonic();

  std::atomic<std::size_t> InFlight{0};

  mutable std::mutex Mutex;
  bool Stopped = false;
  std::map<std::string, ConnectionPtr> Open; ///< By address.
  std::vector<Retired> Closing;

  Duty Watch;
};

void PeerClient::Core::send(const PeerRequest &Request, PeerReplyHook OnReply) {
  ResultCode Reason = ResultCode::PeerMessageTooLarge;
  PeerConnection *Connection = nullptr;
  if (Request.Body.size() <= MaxPeerBodyBytes)
    Connection = reserve(Request, Reason);
  if (Connection == nullptr) {
    refuse(OnReply, Reason);
    return;
  }
  // The reserved place keeps the connection alive without the lock.
  Connection->send(Request, std::move(OnReply));
}

/// Reports on the watching duty, so that the hook never runs inside send().
void PeerClient::Core::refuse(const PeerReplyHook &OnReply, ResultCode Reason) {
  const PeerReply Reply{std::nullopt, {}, Reason};
  if (!Watch.post([OnReply, Reply] { OnReply(Reply); }))
    OnReply(Reply);
}

PeerConnection *PeerClient::Core::reserve(const PeerRequest &Request,
                                          ResultCode &Reason) {
  std::lock_guard<std::mutex> Lock(Mutex);
  if (Stopped) {
    Reason = ResultCode::Stopped;
    return nullptr;
  }
  PeerConnection *Connection = connectionFor(Request, Reason);
  if (Connection == nullptr)
    return nullptr;
  if (Connection->reserve())
    return Connection;
  Reason = ResultCode::PeerUnreachable;
  return nullptr;
}

PeerConnection *PeerClient::Core::connectionFor(const PeerRequest &Request,
                                                ResultCode &Reason) {
  if (InFlight >= Options.MaxInFlight) {
    Reason = ResultCode::PeerBusy;
    return nullptr;
  }
  if (Request.Route == PeerRoute::Fresh)
    retire(Request.Address, ResultCode::PeerConnectionLost, false);
  const auto Found = Open.find(Request.Address);
  if (Found != Open.end())
    return Found->second.get();
  if (!makeRoom()) {
    Reason = ResultCode::PeerBusy;
    return nullptr;
  }
  const PeerConnectionLimits Limits{
      Options.ConnectTimeout, Options.HeartbeatAfter, Options.SilenceLimit};
  auto Added =
      std::make_unique<PeerConnection>(Link, Limits, Request.Address, InFlight);
  if (!Added->open()) {
    Reason = ResultCode::PeerUnreachable;
    return nullptr;
  }
  return (Open[Request.Address] = std::move(Added)).get();
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
  retire(Idlest->address(), ResultCode::PeerConnectionLost, false);
  return true;
}

void PeerClient::Core::retire(const std::string &Address, ResultCode Why,
                              bool CloseNow) {
  auto Node = Open.extract(Address);
  if (!Node.empty())
    Closing.push_back({std::move(Node.mapped()), Why, CloseNow});
}

void PeerClient::Core::watch() {
  inspect();
  closeRetired();
}

void PeerClient::Core::inspect() {
  std::vector<std::string> Silent;
  std::vector<PeerConnection *> Quiet;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    std::vector<std::string> Unused;
    for (const auto &[Address, Connection] : Open) {
      const PeerHealth Health = Connection->health();
      const DurationMs Idle = Monotonic.now() - Connection->lastUsed();
      if (Health == PeerHealth::Silent)
        Silent.push_back(Address);
      else if (Health == PeerHealth::NeedsHeartbeat)
        Quiet.push_back(Connection.get());
      else if (Health == PeerHealth::Unconnected || Idle > Options.IdleLimit)
        Unused.push_back(Address);
    }
    for (const std::string &Address : Silent)
      retire(Address, ResultCode::PeerSilent, true);
    for (const std::string &Address : Unused)
      retire(Address, ResultCode::PeerConnectionLost, false);
    // A retired connection on which requests still wait can go silent too.
    for (Retired &R : Closing) {
      const PeerHealth Health = R.Connection->health();
      if (Health == PeerHealth::NeedsHeartbeat && !R.Closed)
        Quiet.push_back(R.Connection.get());
      if (Health != PeerHealth::Silent)
        continue;
      R.Why = ResultCode::PeerSilent;
      R.CloseNow = true;
    }
  }
  // Only this duty destroys connections, so these are still there.
  for (PeerConnection *Connection : Quiet)
    Connection->sendHeartbeat();
  for (const std::string &Address : Silent)
    if (Link.OnEvent)
      Link.OnEvent({EventId::PeerConnectionDropped, {{"peer", Address}}});
}

void PeerClient::Core::closeRetired() {
  std::vector<Retired> Current;
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    Current.swap(Closing);
  }
  std::vector<Retired> Remaining;
  for (Retired &R : Current) {
    const bool Idle = R.Connection->inFlight() == 0;
    if (!R.Closed && (R.CloseNow || Idle)) {
      R.Connection->close(R.Why);
      R.Closed = true;
    }
    if (!R.Closed || R.Connection->inFlight() > 0)
      Remaining.push_back(std::move(R));
  }
  Current.clear(); // Waits for callbacks, so not under the lock.
  std::lock_guard<std::mutex> Lock(Mutex);
  std::move(Remaining.begin(), Remaining.end(), std::back_inserter(Closing));
}

void PeerClient::Core::stop() {
  {
    std::lock_guard<std::mutex> Lock(Mutex);
    if (Stopped)
      return;
    Stopped = true;
  }
  Watch.stop();
  std::vector<std::string> Addresses;
  for (const auto &[Address, Connection] : Open)
    Addresses.push_back(Address);
  for (const std::string &Address : Addresses)
    retire(Address, ResultCode::Stopped, true);
  for (Retired &R : Closing) {
    R.Why = ResultCode::Stopped;
    R.CloseNow = true;
  }
  while (!Closing.empty()) {
    closeRetired();
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
}

std::size_t PeerClient::Core::connections() const {
  std::lock_guard<std::mutex> Lock(Mutex);
  return Open.size() + Closing.size();
}

PeerClient::PeerClient(PeerLink &Link, PeerClientOptions Options)
    : Own(std::make_unique<Core>(Link, Options)) {}

PeerClient::~PeerClient() { stop(); }

void PeerClient::send(const PeerRequest &Request, PeerReplyHook OnReply) {
  Own->send(Request, std::move(OnReply));
}

PeerSend PeerClient::hook() {
  return [this](const PeerRequest &Request, PeerReplyHook OnReply) {
    send(Request, std::move(OnReply));
  };
}

void PeerClient::stop() { Own->stop(); }

std::size_t PeerClient::connections() const { return Own->connections(); }

} // namespace fescuewood
