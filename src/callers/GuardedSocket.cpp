#include "callers/GuardedSocket.h"

#include "calls/Call.h"

#include <algorithm>
#include <string_view>
#include <utility>

#include <fmt/format.h>
#include <sys/socket.h>

namespace fescuewood {

namespace {

/// Bodies up to this size need no reservation, so that a small urgent request
/// never waits behind large ones. They fit in the read buffer of the head.
constexpr std::size_t SmallBodyBytes = 16 * 1024;

/// Memory that is reserved at a time: as much as most bodies need.
constexpr std::size_t ReservationBytes = 64 * 1024;

constexpr std::string_view ContinueAnswer = "HTTP/1.1 100 Continue\r\n\r\n";

std::string refusalText(ResultCode Reason) {
  const int Status = refusalStatus(Reason);
  const CallAnswer Answer = refusal(Status, Reason, Outcome::NotRun);
  return fmt::format("HTTP/1.1 {} Refused\r\nConnection: close\r\n"
                     "Content-Type: application/json\r\n"
                     "Content-Length: {}\r\n\r\n{}",
                     Status, Answer.Body.size(), Answer.Body);
}

} // namespace

asio::execution_context::id ConnectionRegistry::id;

void ConnectionRegistry::configure(
    RequestLimits NewLimits, std::size_t MaxHeldBytes,
    UnansweredRequestHook NewHasUnansweredRequest, RefusalHook NewOnRefusal) {
  Limits = NewLimits;
  Budget = StreamBudget(MaxHeldBytes);
  HasUnansweredRequest = std::move(NewHasUnansweredRequest);
  OnRefusal = std::move(NewOnRefusal);
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
    const asio::ip::tcp::endpoint &Endpoint) {
  if (const auto Found = ConnectionByEndpoint.find(Endpoint);
      Found != ConnectionByEndpoint.end())
    Found->second->onAnswerWritten();
}

void ConnectionRegistry::closeOverdue() {
  for (GuardedConnection *Connection : Connections)
    Connection->closeOverdue();
}

void ConnectionRegistry::closeAll() {
  for (GuardedConnection *Connection : Connections) {
    std::error_code Ignored;
    Connection->Socket.close(Ignored);
    Connection->cancelBody();
  }
  Lingering.closeAll();
}

GuardedConnection::GuardedConnection(asio::io_context &Context)
    : Socket(Context), Registry(asio::use_service<ConnectionRegistry>(Context)),
      Guard(Registry.Limits), LastActivity(Registry.MonotonicClock.now()) {
  Registry.Connections.insert(this);
}

GuardedConnection::~GuardedConnection() {
  Registry.Connections.erase(this);
  const auto Position = Registry.ConnectionByEndpoint.find(Endpoint);
  if (Position != Registry.ConnectionByEndpoint.end() &&
      Position->second == this)
    Registry.ConnectionByEndpoint.erase(Position);
}

void GuardedConnection::registerEndpoint() {
  if (Endpoint.port() != 0)
    return;
  std::error_code Error;
  Endpoint = Socket.remote_endpoint(Error);
  if (!Error)
    Registry.ConnectionByEndpoint[Endpoint] = this;
}

bool GuardedConnection::hasUnansweredRequest() const {
  return Endpoint.port() != 0 && Registry.HasUnansweredRequest(Endpoint);
}

/// Whether a request, or its refusal, may follow those that are complete.
bool GuardedConnection::hasInput() const {
  std::error_code Ignored;
  return Guard.isInRequest() || Refusal || Socket.available(Ignored) > 0;
}

bool GuardedConnection::endInput() {
  InputEnded = InputEnded || !hasInput();
  return InputEnded;
}

void GuardedConnection::cancelReads() {
  ReadsCancelled = true;
  std::error_code Ignored;
  Socket.cancel(Ignored);
}

void GuardedConnection::shutdown(asio::socket_base::shutdown_type What,
                                 std::error_code &Error) {
  if (!InputEnded)
    Socket.shutdown(What, Error);
}

void GuardedConnection::close() {
  if (InputEnded && Socket.is_open()) {
    Registry.Lingering.add(std::move(Socket));
    return;
  }
  std::error_code Ignored;
  Socket.close(Ignored);
  cancelBody();
}

void GuardedConnection::read(asio::mutable_buffer Buffer, ReadHandler Handler) {
  if (Refusal || InputEnded) {
    discard(std::move(Handler));
    return;
  }
  if (!reserveBody(Buffer.size())) {
    DeferredRead = [this, Buffer, Handler = std::move(Handler)] {
      startRead(Buffer, Handler);
    };
    return;
  }
  writeContinue();
  startRead(Buffer, std::move(Handler));
}

/// Reserves memory for what the next read may add to the body. Returns false if
/// the read has to wait for it.
bool GuardedConnection::reserveBody(std::size_t NextBytes) {
  const auto Body = Guard.body();
  if (!Body)
    return true;
  const std::size_t KnownBytes =
      Body->LengthKnown ? Body->MaxBytes : Body->ReadBytes;
  const std::size_t Needed =
      std::min(Body->MaxBytes, Body->ReadBytes + NextBytes);
  const std::size_t Reserved = Share.bytes();
  if (KnownBytes <= SmallBodyBytes || Needed <= Reserved)
    return true;
  if (!Share.isValid())
    Share = StreamShare(Registry.Budget);
  const std::size_t Step = std::max(
      Needed - Reserved, std::min(ReservationBytes, Body->MaxBytes - Reserved));
  return Share.reserve(Step, [this] { onBodyReserved(); });
}

void GuardedConnection::onBodyReserved() {
  writeContinue();
  // The read may close the connection, which owns this object.
  if (const auto Read = std::exchange(DeferredRead, nullptr))
    Read();
}

void GuardedConnection::cancelBody() {
  Share.release();
  // Completes the read with an error, since the socket is closed.
  if (const auto Read = std::exchange(DeferredRead, nullptr))
    Read();
}

void GuardedConnection::writeContinue() {
  if (!Guard.takeContinueRequested() || hasUnansweredRequest())
    return;
  std::error_code Ignored;
  Socket.write_some(asio::buffer(ContinueAnswer), Ignored);
}

void GuardedConnection::startRead(asio::mutable_buffer Buffer,
                                  ReadHandler Handler) {
  // RESTinio's handler keeps the connection alive until it is called.
  Socket.async_read_some(Buffer,
                         [this, Buffer, Handler = std::move(Handler)](
                             const std::error_code &Error, std::size_t Size) {
                           if (Error)
                             Handler(Error, Size);
                           else
                             inspect(Buffer, Size, Handler);
                         });
}

void GuardedConnection::inspect(asio::mutable_buffer Buffer, std::size_t Size,
                                const ReadHandler &Handler) {
  if (InputEnded) {
    discard(Handler);
    return;
  }
  registerEndpoint();
  LastActivity = Registry.MonotonicClock.now();
  const bool WasInHead = Guard.isInHead();
  const ResultCode Reason =
      Guard.consume({static_cast<const char *>(Buffer.data()), Size});
  if (!WasInHead || Guard.completeRequestBytes() > 0)
    HeadStart = LastActivity;
  if (Reason != ResultCode::Ok) {
    refuse(Reason);
    // Complete requests before the invalid one are still served; the next read
    // starts discarding.
    if (const std::size_t CompleteBytes = Guard.completeRequestBytes();
        CompleteBytes > 0)
      Handler({}, CompleteBytes);
    else
      discard(Handler);
    return;
  }
  if (Guard.isClosed()) {
    InputEnded = true;
    Size = Guard.completeRequestBytes();
  }
  const bool IsComplete = Guard.takeRequestCompleted();
  if (IsComplete && hasPeerClosed()) {
    Handler(asio::error::eof, 0);
    return;
  }
  if (IsComplete)
    Registry.CompletedBody = std::move(Share);
  Handler({}, Size);
  // The server has taken the share if it got the request.
  Registry.CompletedBody.release();
}

/// Whether the end of the connection has already arrived behind what was read.
/// A request that waited for this thread until its caller left must not run.
bool GuardedConnection::hasPeerClosed() {
  char Next = 0;
  return ::recv(Socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void GuardedConnection::refuse(ResultCode Reason) {
  Registry.OnRefusal(Reason);
  Refusal = Reason;
}

void GuardedConnection::writeRefusal() {
  // The refusal must not interleave with the answer to an earlier request.
  if (!Refusal || RefusalWritten || hasUnansweredRequest())
    return;
  RefusalWritten = true;
  std::error_code Ignored;
  Socket.write_some(asio::buffer(refusalText(*Refusal)), Ignored);
  Socket.shutdown(asio::socket_base::shutdown_send, Ignored);
}

void GuardedConnection::onAnswerWritten() {
  LastActivity = Registry.MonotonicClock.now();
  writeRefusal();
}

void GuardedConnection::closeOverdue() {
  const TimeMs Now = Registry.MonotonicClock.now();
  const RequestLimits &Limits = Registry.Limits;
  const bool HeadOverdue = Limits.HeaderTimeout && Guard.isInHead() &&
                           Now - HeadStart > *Limits.HeaderTimeout;
  const bool Idle = Limits.IdleTimeout && !Guard.isInRequest() &&
                    Now - LastActivity > *Limits.IdleTimeout;
  if (Refusal || !(HeadOverdue || Idle) || hasUnansweredRequest())
    return;
  std::error_code Ignored;
  if (Socket.available(Ignored) > 0)
    return;
  if (HeadOverdue) {
    refuse(ResultCode::RequestHeadTimeout);
    writeRefusal();
  }
  // The outstanding read sees the end of input and closes the connection.
  Socket.shutdown(asio::socket_base::shutdown_receive, Ignored);
}

void GuardedConnection::discard(ReadHandler Handler) {
  if (ReadsCancelled) {
    Handler(asio::error::operation_aborted, 0);
    return;
  }
  writeRefusal();
  Socket.async_read_some(asio::buffer(DiscardBuffer),
                         [this, Handler = std::move(Handler)](
                             const std::error_code &Error, std::size_t Size) {
                           DiscardedBytes += Size;
                           if (Error == asio::error::operation_aborted)
                             Handler(Error, 0);
                           else if (Error || DiscardedBytes > MaxDiscardedBytes)
                             Handler(asio::error::connection_reset, 0);
                           else
                             discard(Handler);
                         });
}

} // namespace fescuewood
