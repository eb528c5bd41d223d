#include "callers/GuardedSocket.h"

#include <utility>
#include <vector>

namespace fescuewood {

namespace {

/// Divisor of the maximum number of connections that gives the number of those
/// that wait for their client to close.
constexpr std::size_t LingeringDivisor = 8;

/// Time until the next search after one that found no connection to close. A
/// search compares all connections; one for each event would slow down the
/// others.
constexpr DurationMs ClosingPause{20};

} // namespace

asio::execution_context::id ConnectionRegistry::id;

std::string_view closingReasonName(ClosingReason Reason) {
  switch (Reason) {
  case ClosingReason::Memory:
    return "memory";
  case ClosingReason::Connections:
    return "connections";
  case ClosingReason::Rate:
    break;
  }
  return "rate";
}

ConnectionRegistry::ConnectionRegistry(asio::execution_context &Owner)
    : asio::execution_context::service(Owner),
      Clients(std::make_unique<ClientMemory>(ClientLimits())) {}

ConnectionRegistry::~ConnectionRegistry() = default;

/// Drops the suspended reads, which own their connections.
void ConnectionRegistry::shutdown() {
  std::vector<std::function<void()>> Reads;
  for (GuardedConnection *Connection : Connections) {
    Reads.push_back(std::exchange(Connection->PausedRead, nullptr));
    Reads.push_back(std::exchange(Connection->DeferredRead, nullptr));
  }
}

void ConnectionRegistry::configure(const ConnectionLimits &NewLimits,
                                   Hooks NewHooks) {
  Limits = NewLimits.Requests;
  Budget = StreamBudget(NewLimits.MaxHeldBytes);
  Clients = std::make_unique<ClientMemory>(NewLimits.Clients);
  Notify = std::move(NewHooks);
}

void ConnectionRegistry::onAccountChanged() {
  HeldBytes = Clients->heldBytes();
  OpenCount = Clients->connectionCount();
  if (ClosingScheduled || now() < NextClosing || !Clients->isExhausted())
    return;
  // Not at once, since the caller may be within an operation of a connection.
  ClosingScheduled = true;
  asio::post(static_cast<asio::io_context &>(context()),
             [this] { closeExcess(); });
}

void ConnectionRegistry::closeExcess() {
  ClosingScheduled = false;
  const TimeMs Now = now();
  if (Clients->isExhausted())
    NextClosing = Now + ClosingPause;
  while (const auto Id = Clients->findExcess(Now)) {
    NextClosing = Now;
    const bool IsMemory = Clients->heldBytes() > Clients->limits().MaxBytes;
    GuardedConnection *Connection = ConnectionById.at(*Id);
    ++ClosedCount;
    const ClosingReason Reason =
        IsMemory ? ClosingReason::Memory : ClosingReason::Connections;
    Connection->closeFor(Reason);
    if (Notify.OnClosing)
      Notify.OnClosing(Reason);
  }
  HeldBytes = Clients->heldBytes();
  OpenCount = Clients->connectionCount();
}

/// Keeps a socket open until its client closes. Those of more connections than
/// allowed do not wait, beyond a part for those that close in turn.
void ConnectionRegistry::linger(asio::ip::tcp::socket Socket) {
  const std::size_t MaxConnections = Clients->limits().MaxConnections;
  Lingering.add(std::move(Socket));
  while (Lingering.count() > MaxConnections / LingeringDivisor &&
         Lingering.count() + Clients->connectionCount() > MaxConnections)
    Lingering.closeOldest();
}

void ConnectionRegistry::addServed(const asio::ip::tcp::endpoint &Endpoint,
                                   std::size_t Bytes) {
  if (const auto Found = ConnectionByEndpoint.find(Endpoint);
      Found != ConnectionByEndpoint.end())
    Found->second->addServed(Bytes);
}

void ConnectionRegistry::addAnswer(const asio::ip::tcp::endpoint &Endpoint,
                                   std::size_t Bytes) {
  if (const auto Found = ConnectionByEndpoint.find(Endpoint);
      Found != ConnectionByEndpoint.end())
    Found->second->addAnswer(Bytes);
}

void ConnectionRegistry::closeIdle() {
  for (GuardedConnection *Connection : Connections) {
    if (Connection->hasInput() || Connection->hasUnansweredRequest())
      continue;
    std::error_code Ignored;
    Connection->Socket.shutdown(asio::socket_base::shutdown_receive, Ignored);
  }
}

bool ConnectionRegistry::endInput(const asio::ip::tcp::endpoint &Endpoint) {
  const auto Found = ConnectionByEndpoint.find(Endpoint);
  return Found != ConnectionByEndpoint.end() && Found->second->endInput();
}

void ConnectionRegistry::onAnswerWritten(
    const asio::ip::tcp::endpoint &Endpoint, std::size_t Bytes) {
  if (const auto Found = ConnectionByEndpoint.find(Endpoint);
      Found != ConnectionByEndpoint.end())
    Found->second->onAnswerWritten(Bytes);
}

void ConnectionRegistry::closeOverdue() {
  for (GuardedConnection *Connection : Connections)
    Connection->closeOverdue();
  closeExcess();
}

void ConnectionRegistry::closeAll() {
  for (GuardedConnection *Connection : Connections) {
    std::error_code Ignored;
    Connection->Socket.close(Ignored);
    Connection->cancelBody();
  }
  Lingering.closeAll();
}

} // namespace fescuewood
