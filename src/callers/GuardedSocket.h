/// \file
/// The socket type through which RESTinio reads callers' connections.
///
/// A \ref RequestGuard checks every byte first. When it rejects a request, the
/// socket writes the refusal itself, discards further input and then reports
/// the end of the connection to RESTinio. Internal to the package.

#ifndef FESCUEWOOD_CALLERS_GUARDEDSOCKET_H
#define FESCUEWOOD_CALLERS_GUARDEDSOCKET_H

#include "callers/LingeringSockets.h"
#include "callers/RequestGuard.h"
#include "core/Clock.h"
#include "core/ResultCode.h"
#include "policy/ClientMemory.h"
#include "policy/StreamBudget.h"
#include "policy/TransferRate.h"

#include <algorithm>
#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string_view>
#include <system_error>
#include <utility>

#include <asio.hpp>

namespace fescuewood {

class GuardedConnection;

/// Memory of a connection without requests: RESTinio's read buffer and the
/// objects of RESTinio and this package.
inline constexpr std::size_t ConnectionBytes = 20 * 1024;

/// Limits on all connections of one server.
struct ConnectionLimits {
  RequestLimits Requests;
  std::size_t MaxHeldBytes = 0; ///< Of large bodies, see \ref StreamBudget.
  ClientLimits Clients;
};

/// Connections that are accepted beyond the limit until others are closed for
/// them.
constexpr std::size_t spareConnections(std::size_t MaxConnections) {
  constexpr std::size_t MinSpare = 8;
  return std::max(MinSpare, MaxConnections / 16);
}

/// Why a connection was closed before its client was done with it.
enum class ClosingReason : std::uint8_t {
  Memory,      ///< The account of all connections is exhausted.
  Connections, ///< A new connection takes its place.
  Rate,        ///< It reads answers at less than the minimum rate.
};

/// Returns "memory", "connections" or "rate".
std::string_view closingReasonName(ClosingReason Reason);

/// All connections of one server, registered as a service of its io_context.
class ConnectionRegistry : public asio::execution_context::service {
public:
  using key_type = ConnectionRegistry;
  static asio::execution_context::id id; // NOLINT: name required by asio.

  explicit ConnectionRegistry(asio::execution_context &Owner);
  ~ConnectionRegistry() override;

  /// Returns whether a request from this endpoint is unanswered.
  using UnansweredRequestHook =
      std::function<bool(const asio::ip::tcp::endpoint &Endpoint)>;
  using RefusalHook = std::function<void(ResultCode)>;
  using ClosingHook = std::function<void(ClosingReason)>;

  struct Hooks {
    UnansweredRequestHook HasUnansweredRequest;
    RefusalHook OnRefusal;
    ClosingHook OnClosing;
  };

  /// Must be called before the first connection is opened.
  void configure(const ConnectionLimits &NewLimits, Hooks NewHooks);

  /// Replaces the limits for requests that begin after the call.
  void setLimits(const RequestLimits &NewLimits) { Limits = NewLimits; }

  /// Refuses requests that exceed the header timeout, the time limit of a body
  /// or the minimum rate, and closes connections that exceed the idle timeout
  /// or read too slowly. To be called periodically.
  void closeOverdue();

  /// Adds a request that the server has received to what is held for a
  /// connection.
  void addServed(const asio::ip::tcp::endpoint &Endpoint, std::size_t Bytes);

  /// Adds the answer to such a request.
  void addAnswer(const asio::ip::tcp::endpoint &Endpoint, std::size_t Bytes);

  /// Thread-safe.
  std::size_t heldBytes() const { return HeldBytes; }
  std::size_t connectionCount() const { return OpenCount; }
  std::uint64_t closedCount() const { return ClosedCount; }
  std::uint64_t slowCount() const { return SlowCount; }

  /// Takes over the memory of the body of the request that is being handed to
  /// the server. Invalid for a small body.
  StreamShare takeCompletedBody() { return std::move(CompletedBody); }

  /// Notifies a connection that an answer was written to it, for which \p Bytes
  /// were held. The refusal of an invalid request that follows valid ones is
  /// written after their answers.
  void onAnswerWritten(const asio::ip::tcp::endpoint &Endpoint,
                       std::size_t Bytes);

  /// Shuts down the receiving side of each connection without a request.
  void closeIdle();

  /// Stops reading from a connection, so that its next answer can close it.
  /// Returns false and goes on reading if a further request has begun to
  /// arrive.
  bool endInput(const asio::ip::tcp::endpoint &Endpoint);

  /// Number of connections whose last answer is written and that wait for the
  /// caller to close; thread-safe.
  std::size_t lingeringCount() const { return Lingering.count(); }

  void closeAll();

private:
  friend class GuardedConnection;
  void shutdown() override;

  TimeMs now() const { return MonotonicClock.now(); }
  void onAccountChanged();
  void closeExcess();
  void linger(asio::ip::tcp::socket Socket);

  const Clock MonotonicClock = Clock::monotonic();
  RequestLimits Limits;
  StreamBudget Budget{0};
  std::unique_ptr<ClientMemory> Clients;
  std::map<ClientMemory::ClientId, GuardedConnection *> ConnectionById;
  bool ClosingScheduled = false;
  TimeMs NextClosing; ///< No search for connections to close before it.
  std::atomic<std::size_t> HeldBytes = 0;
  std::atomic<std::size_t> OpenCount = 0;
  std::atomic<std::uint64_t> ClosedCount = 0;
  std::atomic<std::uint64_t> SlowCount = 0;
  StreamShare CompletedBody;
  Hooks Notify;
  LingeringSockets Lingering;
  std::array<char, 4096> DiscardBuffer{}; ///< Shared, since nothing reads it.
  std::set<GuardedConnection *> Connections;
  /// Connections that have received data, by the caller's endpoint.
  std::map<asio::ip::tcp::endpoint, GuardedConnection *> ConnectionByEndpoint;
};

/// The state of a connection, at a fixed address while its socket object moves.
class GuardedConnection {
public:
  using ReadHandler = std::function<void(const std::error_code &, std::size_t)>;

  explicit GuardedConnection(asio::io_context &Context);
  ~GuardedConnection();
  GuardedConnection(const GuardedConnection &) = delete;
  GuardedConnection &operator=(const GuardedConnection &) = delete;

  /// Notifies the connection that its socket has been accepted.
  void onOpened();

  void read(asio::mutable_buffer Buffer, ReadHandler Handler);

  void onWriteStarted();
  void onWritten(std::size_t Size);

  /// Closes the connection in favour of others.
  void closeFor(ClosingReason Reason);

  /// Gives up the body that is being read, after the socket is closed.
  void cancelBody();

  /// As \ref ConnectionRegistry::closeOverdue, for one connection.
  void closeOverdue();

  /// As \ref ConnectionRegistry::endInput.
  bool endInput();

  /// Cancels the current read and all later ones.
  void cancelReads();

  /// Shuts down the socket, unless it lingers after the end of its input.
  void shutdown(asio::socket_base::shutdown_type What, std::error_code &Error);

  /// Closes the socket, at once or when its caller has closed.
  void close();

  asio::ip::tcp::socket Socket;

private:
  friend class ConnectionRegistry;

  bool hasUnansweredRequest() const;
  bool hasInput() const;
  ClientActivity activity() const;
  void account(bool Progress);
  void record(bool Progress);
  void accountWriting();
  void accountSending(std::size_t Bytes);
  std::optional<ResultCode> overdueReason() const;
  void refuseOverdue(ResultCode Reason);
  void endDiscarding();
  void abandon();
  void closeSlowReader();
  void addServed(std::size_t Bytes);
  void addAnswer(std::size_t Bytes);
  bool hasManyAnswers() const;
  bool mustPause() const;
  void resumeReading();
  void startRead(asio::mutable_buffer Buffer, ReadHandler Handler);
  bool reserveBody(std::size_t NextBytes);
  void onBodyReserved();
  void writeContinue();
  void inspect(asio::mutable_buffer Buffer, std::size_t Size,
               const ReadHandler &Handler);
  bool hasPeerClosed();
  void registerEndpoint();
  void onAnswerWritten(std::size_t Bytes);
  void refuse(ResultCode Reason);
  void writeRefusal();
  void discard(ReadHandler Handler);

  ConnectionRegistry &Registry;
  RequestGuard Guard;
  StreamShare Share;                  ///< Memory of the body being read.
  std::function<void()> DeferredRead; ///< Read deferred until memory is free.
  /// Read paused until answers are read or the account has room. Owns the
  /// connection through RESTinio's handler.
  std::function<void()> PausedRead;
  ClientMemory::ClientId Id = 0;  ///< 0 while it is not accounted for.
  std::size_t ServedRequests = 0; ///< Received and not answered.
  std::size_t ServedBytes = 0;    ///< Of these and their answers.
  bool IsWriting = false;
  bool HasUnread = false; ///< The client has not received all answers.
  std::size_t WrittenBytes = 0;
  std::size_t ReadBytes = 0; ///< Of the written ones, by the client's system.
  asio::ip::tcp::endpoint Endpoint;
  TimeMs LastActivity;   ///< Time of the last read or written answer.
  TimeMs HeadStart;      ///< Arrival of the current head's first byte.
  TransferRate SendRate; ///< Of the current body.
  TransferRate ReadRate; ///< Of the unread answers.
  std::optional<ResultCode> Refusal; ///< If set, input is discarded.
  TimeMs RefusalTime;
  bool InputEnded = false; ///< No request follows; input is discarded.
  bool ReadsCancelled = false;
  bool Aborted = false; ///< Closed without waiting for the client.
  bool RefusalWritten = false;
  std::size_t DiscardedBytes = 0;
};

/// Provides the part of the `asio::ip::tcp::socket` interface that RESTinio
/// uses.
class GuardedSocket {
public:
  using executor_type = asio::ip::tcp::socket::executor_type; // NOLINT
  using lowest_layer_type = asio::ip::tcp::socket;            // NOLINT

  explicit GuardedSocket(asio::io_context &Context) : Context(&Context) {}

  // NOLINTBEGIN(readability-identifier-naming): asio's names.
  lowest_layer_type &lowest_layer() {
    // RESTinio accepts the next connection into the moved-from socket object.
    if (!Connection)
      Connection = std::make_unique<GuardedConnection>(*Context);
    return Connection->Socket;
  }

  executor_type get_executor() { return lowest_layer().get_executor(); }

  /// Notifies the connection that this socket has been accepted.
  void onOpened() {
    lowest_layer();
    Connection->onOpened();
  }

  auto remote_endpoint() { return lowest_layer().remote_endpoint(); }

  bool is_open() { return lowest_layer().is_open(); }

  void cancel(std::error_code & /*Error*/) {
    lowest_layer();
    Connection->cancelReads();
  }

  void shutdown(asio::socket_base::shutdown_type What, std::error_code &Error) {
    lowest_layer();
    Connection->shutdown(What, Error);
  }

  void close() {
    lowest_layer();
    Connection->close();
  }

  template <typename Buffers, typename Handler>
  void async_read_some(const Buffers &Target, Handler &&OnRead) {
    lowest_layer();
    Connection->read(Target, std::forward<Handler>(OnRead));
  }

  template <typename Buffers, typename Handler>
  void async_write_some(const Buffers &Source, Handler &&OnWritten) {
    lowest_layer();
    Connection->onWriteStarted();
    // RESTinio's handler keeps the connection alive until it is called.
    Connection->Socket.async_write_some(
        Source, [Owner = Connection.get(),
                 OnWritten = std::forward<Handler>(OnWritten)](
                    const std::error_code &Error, std::size_t Size) mutable {
          Owner->onWritten(Size);
          OnWritten(Error, Size);
        });
  }
  // NOLINTEND(readability-identifier-naming)

private:
  asio::io_context *Context;
  std::unique_ptr<GuardedConnection> Connection;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_GUARDEDSOCKET_H
