#include "callers/GuardedSocket.h"

#include "calls/Call.h"

#include <string_view>
#include <utility>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// Maximum number of bytes discarded after a refusal. Closing earlier would
/// reset the connection, and the caller could lose the refusal.
constexpr std::size_t MaxDiscardedBytes = 16 * 1024 * 1024;

/// Bodies up to this size need no reservation, so that a small urgent request
/// never waits behind large ones. They fit in the read buffer of the head.
constexpr std::size_t SmallBodyBytes = 16 * 1024;

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

void ConnectionRegistry::configure(RequestLimits NewLimits,
                                   std::size_t MaxHeldBytes, BusyHook NewBusy,
                                   RefusedHook NewRefused) {
  Limits = NewLimits;
  Bodies = BodyBudget(MaxHeldBytes);
  Busy = std::move(NewBusy);
  Refused = std::move(NewRefused);
}

void ConnectionRegistry::closeIdle() {
  for (GuardedConnection *Connection : Connections) {
    std::error_code Ignored;
    const bool Unread = Connection->Socket.available(Ignored) > 0;
    if (Connection->Guard.inRequest() || Connection->busy() || Unread)
      continue;
    Connection->Socket.shutdown(asio::socket_base::shutdown_receive, Ignored);
  }
}

void ConnectionRegistry::answerWritten(const asio::ip::tcp::endpoint &Caller) {
  if (const auto Found = ByCaller.find(Caller); Found != ByCaller.end())
    Found->second->answerWritten();
}

void ConnectionRegistry::endOverdue() {
  for (GuardedConnection *Connection : Connections)
    Connection->endOverdue();
}

void ConnectionRegistry::closeAll() {
  for (GuardedConnection *Connection : Connections) {
    std::error_code Ignored;
    Connection->Socket.close(Ignored);
    Connection->stopWaiting();
  }
}

GuardedConnection::GuardedConnection(asio::io_context &Context)
    : Socket(Context), Registry(asio::use_service<ConnectionRegistry>(Context)),
      Guard(Registry.Limits), UsedAt(Registry.Now.now()) {
  Registry.Connections.insert(this);
}

GuardedConnection::~GuardedConnection() {
  Registry.Connections.erase(this);
  const auto Known = Registry.ByCaller.find(Caller);
  if (Known != Registry.ByCaller.end() && Known->second == this)
    Registry.ByCaller.erase(Known);
  Registry.Bodies.cancel(this);
  Registry.Bodies.release(Booked);
}

void GuardedConnection::takeCaller() {
  if (Caller.port() != 0)
    return;
  std::error_code Error;
  Caller = Socket.remote_endpoint(Error);
  if (!Error)
    Registry.ByCaller[Caller] = this;
}

bool GuardedConnection::busy() const {
  return Caller.port() != 0 && Registry.Busy(Caller);
}

void GuardedConnection::read(asio::mutable_buffer Buffer, ReadHandler Handler) {
  if (Refusal)
    discard(std::move(Handler));
  else if (Wanted == 0)
    start(Buffer, std::move(Handler));
  else
    WaitingRead = [this, Buffer, Handler = std::move(Handler)] {
      start(Buffer, Handler);
    };
}

void GuardedConnection::bookBody() {
  const std::size_t Needed = Guard.takeBodyNeeded();
  if (Needed <= SmallBodyBytes)
    return;
  if (Registry.Bodies.book(this, Needed, [this] { onRoom(); }))
    Booked = Needed;
  else
    Wanted = Needed;
}

void GuardedConnection::onRoom() {
  Booked = std::exchange(Wanted, 0);
  writeContinue();
  // The read may close the connection, which owns this object.
  if (const auto Read = std::exchange(WaitingRead, nullptr))
    Read();
}

void GuardedConnection::stopWaiting() {
  if (!Registry.Bodies.cancel(this))
    return;
  Wanted = 0;
  // Completes the read with an error, since the socket is closed.
  if (const auto Read = std::exchange(WaitingRead, nullptr))
    Read();
}

void GuardedConnection::writeContinue() {
  if (!Guard.takeContinueWanted() || busy())
    return;
  std::error_code Ignored;
  Socket.write_some(asio::buffer(ContinueAnswer), Ignored);
}

void GuardedConnection::start(asio::mutable_buffer Buffer,
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
  takeCaller();
  UsedAt = Registry.Now.now();
  const bool WasInHead = Guard.inHead();
  const ResultCode Reason =
      Guard.take({static_cast<const char *>(Buffer.data()), Size});
  if (!WasInHead || Guard.bytesOfWhole() > 0)
    HeadSince = UsedAt;
  if (Reason != ResultCode::Ok) {
    refuse(Reason);
    // Complete requests before the invalid one are still served; the next read
    // starts discarding.
    if (const std::size_t Whole = Guard.bytesOfWhole(); Whole > 0)
      Handler({}, Whole);
    else
      discard(Handler);
    return;
  }
  const std::size_t Ended =
      Guard.takeCompleted() ? std::exchange(Booked, 0) : 0;
  bookBody();
  if (Wanted == 0)
    writeContinue();
  Handler({}, Size);
  // From here on the server accounts for the body of a complete request.
  Registry.Bodies.release(Ended);
}

void GuardedConnection::refuse(ResultCode Reason) {
  Registry.Refused(Reason);
  Refusal = Reason;
}

void GuardedConnection::writeRefusal() {
  // The refusal must not interleave with the answer to an earlier request.
  if (!Refusal || RefusalWritten || busy())
    return;
  RefusalWritten = true;
  std::error_code Ignored;
  Socket.write_some(asio::buffer(refusalText(*Refusal)), Ignored);
  Socket.shutdown(asio::socket_base::shutdown_send, Ignored);
}

void GuardedConnection::answerWritten() {
  UsedAt = Registry.Now.now();
  writeRefusal();
}

void GuardedConnection::endOverdue() {
  const TimeMs Now = Registry.Now.now();
  const RequestLimits &Limits = Registry.Limits;
  const bool HeadLate = Limits.HeaderTimeout && Guard.inHead() &&
                        Now - HeadSince > *Limits.HeaderTimeout;
  const bool Unused = Limits.IdleTimeout && !Guard.inRequest() &&
                      Now - UsedAt > *Limits.IdleTimeout;
  if (Refusal || !(HeadLate || Unused) || busy())
    return;
  std::error_code Ignored;
  if (Socket.available(Ignored) > 0)
    return;
  if (HeadLate) {
    refuse(ResultCode::RequestHeadTimeout);
    writeRefusal();
  }
  // The outstanding read sees the end of input and closes the connection.
  Socket.shutdown(asio::socket_base::shutdown_receive, Ignored);
}

void GuardedConnection::discard(ReadHandler Handler) {
  writeRefusal();
  Socket.async_read_some(asio::buffer(Scratch),
                         [this, Handler = std::move(Handler)](
                             const std::error_code &Error, std::size_t N) {
                           Discarded += N;
                           if (Error || Discarded > MaxDiscardedBytes)
                             Handler(asio::error::connection_reset, 0);
                           else
                             discard(Handler);
                         });
}

} // namespace fescuewood
