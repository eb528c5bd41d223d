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

/// Bytes held for pipelined requests and their answers above which a connection
/// is not read. Several ordinary answers fit.
constexpr std::size_t MaxPipelinedBytes = 64 * 1024;

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

GuardedConnection::GuardedConnection(asio::io_context &Context)
    : Socket(Context), Registry(asio::use_service<ConnectionRegistry>(Context)),
      Guard(Registry.Limits), LastActivity(Registry.now()) {
  Registry.Connections.insert(this);
}

GuardedConnection::~GuardedConnection() {
  Registry.Clients->close(Id);
  Registry.ConnectionById.erase(Id);
  Registry.Connections.erase(this);
  const auto Position = Registry.ConnectionByEndpoint.find(Endpoint);
  if (Position != Registry.ConnectionByEndpoint.end() &&
      Position->second == this)
    Registry.ConnectionByEndpoint.erase(Position);
}

void GuardedConnection::onOpened() {
  registerEndpoint();
  // The socket may have waited long for its connection.
  LastActivity = Registry.now();
  Id = Registry.Clients->open(Endpoint.address().to_string(), LastActivity);
  Registry.ConnectionById[Id] = this;
  account(false);
}

ClientActivity GuardedConnection::activity() const {
  if (IsWriting || HasUnread)
    return ClientActivity::Reading;
  if (ServedRequests > 0)
    return ClientActivity::Waiting;
  if (Guard.isInRequest() || Refusal)
    return ClientActivity::Sending;
  return ClientActivity::Idle;
}

void GuardedConnection::account(bool Progress) {
  // Requests that a client sends are no progress while it reads no answers.
  record(Progress && !HasUnread);
}

void GuardedConnection::record(bool Progress) {
  if (Id == 0)
    return;
  Registry.Clients->update(Id, activity(),
                           ConnectionBytes + Guard.heldBytes() + ServedBytes,
                           Progress, Registry.now());
  Registry.onAccountChanged();
}

void GuardedConnection::addServed(std::size_t Bytes) {
  ++ServedRequests;
  ServedBytes += Bytes;
}

void GuardedConnection::addAnswer(std::size_t Bytes) {
  ServedBytes += Bytes;
  account(false);
}

/// Whether the client sends requests ahead of their answers, and enough is held
/// for them. A single request is no reason to stop reading, since the next read
/// tells whether its caller has left.
bool GuardedConnection::hasManyAnswers() const {
  return ServedRequests > 1 && ServedBytes > MaxPipelinedBytes;
}

/// Whether the next bytes are not read for now. With a full account, requests
/// that hold little are still read, so that ordinary ones are served.
bool GuardedConnection::mustPause() const {
  return hasManyAnswers() || (Registry.Clients->isMemoryExhausted() &&
                              Guard.heldBytes() > SmallBodyBytes);
}

void GuardedConnection::resumeReading() {
  if (mustPause() || !PausedRead)
    return;
  // Not at once, since RESTinio may be finishing an answer. The read keeps the
  // connection alive.
  asio::post(Socket.get_executor(), std::exchange(PausedRead, nullptr));
  accountSending(0);
}

void GuardedConnection::onWriteStarted() {
  if (!std::exchange(IsWriting, true))
    account(true);
}

void GuardedConnection::onWritten(std::size_t Size) {
  IsWriting = false;
  WrittenBytes += Size;
}

/// Ends the accounting for a connection that is closed without waiting for its
/// client.
void GuardedConnection::abandon() {
  Registry.Clients->close(Id);
  Registry.ConnectionById.erase(Id);
  Id = 0;
  Aborted = true;
}

void GuardedConnection::closeFor(ClosingReason Reason) {
  abandon();
  std::error_code Ignored;
  if (IsWriting) {
    // What the client does not read is not kept for it.
    Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  } else if (Guard.isInRequest() && !Refusal) {
    refuse(Reason == ClosingReason::Memory ? ResultCode::CallerMemoryFull
                                           : ResultCode::RequestTooSlow);
    writeRefusal();
  }
  // The outstanding operations end with an error, which closes the connection.
  Socket.shutdown(asio::socket_base::shutdown_both, Ignored);
  cancelBody();
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
  if (!Registry.Notify.HasUnansweredRequest)
    return IsWriting;
  return Endpoint.port() != 0 && Registry.Notify.HasUnansweredRequest(Endpoint);
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
  if (!InputEnded || Aborted)
    Socket.shutdown(What, Error);
}

void GuardedConnection::close() {
  std::error_code Ignored;
  if (InputEnded && !Aborted && Socket.is_open())
    Registry.linger(std::move(Socket));
  else
    Socket.close(Ignored);
  cancelBody();
}

void GuardedConnection::read(asio::mutable_buffer Buffer, ReadHandler Handler) {
  if (Refusal || InputEnded) {
    discard(std::move(Handler));
    return;
  }
  if (mustPause() && Socket.is_open() && !Aborted) {
    PausedRead = [this, Buffer, Handler = std::move(Handler)] {
      read(Buffer, Handler);
    };
    accountSending(0);
    return;
  }
  if (!reserveBody(Buffer.size())) {
    DeferredRead = [this, Buffer, Handler = std::move(Handler)] {
      startRead(Buffer, Handler);
    };
    accountSending(0);
    account(false);
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
  if (const auto Read = std::exchange(DeferredRead, nullptr)) {
    accountSending(0);
    account(true);
    Read();
  }
}

void GuardedConnection::cancelBody() {
  Share.release();
  if (PausedRead)
    asio::post(Socket.get_executor(), std::exchange(PausedRead, nullptr));
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
                           if (Error && Refusal)
                             discard(Handler); // See refuseOverdue.
                           else if (Error)
                             Handler(Error, Size);
                           else
                             inspect(Buffer, Size, Handler);
                         });
}

void GuardedConnection::inspect(asio::mutable_buffer Buffer, std::size_t Size,
                                const ReadHandler &Handler) {
  if (InputEnded || Refusal) {
    discard(Handler);
    return;
  }
  registerEndpoint();
  LastActivity = Registry.now();
  const bool WasInHead = Guard.isInHead();
  const ResultCode Reason =
      Guard.consume({static_cast<const char *>(Buffer.data()), Size});
  if (!WasInHead || Guard.completeRequestBytes() > 0)
    HeadStart = LastActivity;
  if (Guard.completeRequestBytes() > 0)
    SendRate.restart();
  accountSending(Size);
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
  account(true);
}

/// Whether the end of the connection has already arrived behind what was read.
/// A request that waited for this thread until its caller left must not run.
bool GuardedConnection::hasPeerClosed() {
  char Next = 0;
  return ::recv(Socket.native_handle(), &Next, 1, MSG_PEEK | MSG_DONTWAIT) == 0;
}

void GuardedConnection::refuse(ResultCode Reason) {
  if (Registry.Notify.OnRefusal)
    Registry.Notify.OnRefusal(Reason);
  Refusal = Reason;
  RefusalTime = Registry.now();
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

void GuardedConnection::onAnswerWritten(std::size_t Bytes) {
  LastActivity = Registry.now();
  ServedRequests -= std::min<std::size_t>(ServedRequests, 1);
  ServedBytes -= std::min(ServedBytes, Bytes);
  account(true);
  writeRefusal();
  resumeReading();
}

void GuardedConnection::discard(ReadHandler Handler) {
  if (ReadsCancelled) {
    Handler(asio::error::operation_aborted, 0);
    return;
  }
  writeRefusal();
  Socket.async_read_some(asio::buffer(Registry.DiscardBuffer),
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
