// The limits on the rate and the time of a connection's transfers.
// GuardedSocket.cpp has the rest of the class.

#include "callers/GuardedSocket.h"

#include <algorithm>
#include <linux/sockios.h>
#include <sys/ioctl.h>
#include <utility>

namespace fescuewood {

namespace {

/// Time for which the rest of a refused request is discarded, so that its
/// client can read the refusal. \ref MaxDiscardedBytes take 13.4 s at 10
/// Mbit/s.
constexpr DurationMs MaxDiscardTime{15'000};

/// The same for a client that was too slow, which sends little meanwhile.
constexpr DurationMs SlowDiscardTime{2000};

DurationMs discardTime(ResultCode Reason) {
  constexpr int RequestTimeoutStatus = 408;
  return refusalStatus(Reason) == RequestTimeoutStatus ? SlowDiscardTime
                                                       : MaxDiscardTime;
}

} // namespace

/// Takes what the client has received as its progress. What the system has
/// taken says little: it holds megabytes, and takes more only once much of that
/// is received.
void GuardedConnection::accountWriting() {
  int Queued = 0;
  const bool MayHaveUnread = IsWriting || HasUnread || ServedRequests > 0;
  if (!MayHaveUnread ||
      ::ioctl(Socket.native_handle(), SIOCOUTQ, &Queued) != 0) {
    ReadRate.restart();
    return;
  }
  const std::size_t Unread =
      std::min(WrittenBytes, static_cast<std::size_t>(Queued));
  const std::size_t Before = std::exchange(ReadBytes, WrittenBytes - Unread);
  HasUnread = Unread > 0;
  record(ReadBytes > Before);
  if (!HasUnread)
    ReadRate.restart();
  ReadRate.update(ReadBytes > Before ? ReadBytes - Before : 0, HasUnread,
                  Registry.now(), Registry.Limits.Transfers.Window);
}

/// Records bytes of the body that is being read. Time in which the node does
/// not read is not the client's.
void GuardedConnection::accountSending(std::size_t Bytes) {
  const bool Expected =
      Guard.body() && !PausedRead && !DeferredRead && !Refusal;
  SendRate.update(Bytes, Expected, Registry.now(),
                  Registry.Limits.Transfers.Window);
}

void GuardedConnection::closeSlowReader() {
  abandon();
  ++Registry.SlowCount;
  if (Registry.Notify.OnClosing)
    Registry.Notify.OnClosing(ClosingReason::Rate);
  std::error_code Ignored;
  // What the client does not read is not kept for it.
  Socket.set_option(asio::socket_base::linger(true, 0), Ignored);
  Socket.shutdown(asio::socket_base::shutdown_both, Ignored);
  cancelBody();
}

/// Why the request that is being read is overdue, if it is.
std::optional<ResultCode> GuardedConnection::overdueReason() const {
  const RequestLimits &Limits = Registry.Limits;
  if (Limits.HeaderTimeout && Guard.isInHead() &&
      Registry.now() - HeadStart > *Limits.HeaderTimeout)
    return ResultCode::RequestHeadTimeout;
  const auto Body = Guard.body();
  if (!Body)
    return std::nullopt;
  if (SendRate.isTooSlow(Limits.Transfers))
    return ResultCode::RequestTooSlow;
  const auto Length = Body->LengthKnown
                          ? std::optional<std::uint64_t>(Body->MaxBytes)
                          : std::nullopt;
  if (SendRate.expectedTime() > bodyTimeLimit(Length, Limits.Transfers))
    return ResultCode::RequestTimeout;
  return std::nullopt;
}

void GuardedConnection::closeOverdue() {
  if (Aborted || !Socket.is_open())
    return;
  accountWriting();
  if (ReadRate.isTooSlow(Registry.Limits.Transfers)) {
    closeSlowReader();
    return;
  }
  accountSending(0);
  resumeReading();
  if (Refusal) {
    endDiscarding();
    return;
  }
  const std::optional<DurationMs> IdleTimeout = Registry.Limits.IdleTimeout;
  const bool Idle = IdleTimeout && !Guard.isInRequest() &&
                    Registry.now() - LastActivity > *IdleTimeout;
  const std::optional<ResultCode> Overdue = overdueReason();
  std::error_code Ignored;
  if (!(Overdue || Idle) || hasUnansweredRequest() ||
      Socket.available(Ignored) > 0)
    return;
  if (Overdue)
    refuseOverdue(*Overdue);
  else
    // The outstanding read sees the end of input and closes the connection.
    Socket.shutdown(asio::socket_base::shutdown_receive, Ignored);
}

/// Refuses the request that is being read. Its outstanding read is cancelled,
/// and the rest of the request discarded in its place.
void GuardedConnection::refuseOverdue(ResultCode Reason) {
  if (Reason != ResultCode::RequestHeadTimeout)
    ++Registry.SlowCount;
  refuse(Reason);
  writeRefusal();
  std::error_code Ignored;
  Socket.cancel(Ignored);
  cancelBody();
}

/// Closes a connection whose refused request has been discarded for long
/// enough.
void GuardedConnection::endDiscarding() {
  if (!RefusalWritten || Registry.now() - RefusalTime <= discardTime(*Refusal))
    return;
  std::error_code Ignored;
  Socket.shutdown(asio::socket_base::shutdown_both, Ignored);
}

} // namespace fescuewood
