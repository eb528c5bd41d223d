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
#include "policy/StreamBudget.h"

#include <array>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <system_error>
#include <utility>

#include <asio.hpp>

namespace fescuewood {

class GuardedConnection;

/// All connections of one server, registered as a service of its io_context.
class ConnectionRegistry : public asio::execution_context::service {
public:
  using key_type = ConnectionRegistry;
  static asio::execution_context::id id; // NOLINT: name required by asio.

  explicit ConnectionRegistry(asio::execution_context &Owner)
      : asio::execution_context::service(Owner) {}

  /// Returns whether a request from this endpoint is unanswered.
  using UnansweredRequestHook =
      std::function<bool(const asio::ip::tcp::endpoint &Endpoint)>;
  using RefusalHook = std::function<void(ResultCode)>;

  /// Must be called before the first connection is opened.
  void configure(RequestLimits NewLimits, std::size_t MaxHeldBytes,
                 UnansweredRequestHook NewHasUnansweredRequest,
                 RefusalHook NewOnRefusal);

  /// Replaces the limits for requests that begin after the call.
  void setLimits(const RequestLimits &NewLimits) { Limits = NewLimits; }

  /// Refuses requests whose head exceeds the header timeout and closes
  /// connections that exceed the idle timeout.
  void closeOverdue();

  /// Takes over the memory of the body of the request that is being handed to
  /// the server. Invalid for a small body.
  StreamShare takeCompletedBody() { return std::move(CompletedBody); }

  /// Notifies a connection that an answer was written to it. The refusal of an
  /// invalid request that follows valid ones is written after their answers.
  void onAnswerWritten(const asio::ip::tcp::endpoint &Endpoint);

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
  void shutdown() override {}

  const Clock MonotonicClock = Clock::monotonic();
  RequestLimits Limits;
  StreamBudget Budget{0};
  StreamShare CompletedBody;
  UnansweredRequestHook HasUnansweredRequest;
  RefusalHook OnRefusal;
  LingeringSockets Lingering;
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

  void read(asio::mutable_buffer Buffer, ReadHandler Handler);

  /// Gives up the body that is being read, after the socket is closed.
  void cancelBody();

  /// Refuses the current request if its head exceeds the header timeout, or
  /// closes the connection if it exceeds the idle timeout.
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
  void startRead(asio::mutable_buffer Buffer, ReadHandler Handler);
  bool reserveBody(std::size_t NextBytes);
  void onBodyReserved();
  void writeContinue();
  void inspect(asio::mutable_buffer Buffer, std::size_t Size,
               const ReadHandler &Handler);
  bool hasPeerClosed();
  void registerEndpoint();
  void onAnswerWritten();
  void refuse(ResultCode Reason);
  void writeRefusal();
  void discard(ReadHandler Handler);

  ConnectionRegistry &Registry;
  RequestGuard Guard;
  StreamShare Share;                  ///< Memory of the body being read.
  std::function<void()> DeferredRead; ///< Read deferred until memory is free.
  asio::ip::tcp::endpoint Endpoint;
  TimeMs LastActivity; ///< Time of the last read or written answer.
  TimeMs HeadStart;    ///< Arrival of the current head's first byte.
  std::optional<ResultCode> Refusal; ///< If set, input is discarded.
  bool InputEnded = false; ///< No request follows; input is discarded.
  bool ReadsCancelled = false;
  bool RefusalWritten = false;
  std::size_t DiscardedBytes = 0;
  std::array<char, 4096> DiscardBuffer{};
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
    lowest_layer().async_write_some(Source, std::forward<Handler>(OnWritten));
  }
  // NOLINTEND(readability-identifier-naming)

private:
  asio::io_context *Context;
  std::unique_ptr<GuardedConnection> Connection;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_GUARDEDSOCKET_H
