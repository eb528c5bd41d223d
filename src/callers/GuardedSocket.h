/// \file
/// The socket type that RESTinio reads callers' connections through.
///
/// It passes every byte by a \ref RequestGuard. When the guard objects, the
/// socket writes the refusal itself, discards what the caller still sends and
/// then shows RESTinio the end of the connection. Internal to the package.

#ifndef FESCUEWOOD_CALLERS_GUARDEDSOCKET_H
#define FESCUEWOOD_CALLERS_GUARDEDSOCKET_H

#include "callers/BodyBudget.h"
#include "callers/RequestGuard.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

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

/// Every connection of one server, found through its io_context.
class ConnectionRegistry : public asio::execution_context::service {
public:
  using key_type = ConnectionRegistry;
  static asio::execution_context::id id; // NOLINT: the name asio looks up.

  explicit ConnectionRegistry(asio::execution_context &Owner)
      : asio::execution_context::service(Owner) {}

  /// Whether a request of this caller waits for its answer.
  using BusyHook = std::function<bool(const asio::ip::tcp::endpoint &Caller)>;
  using RefusedHook = std::function<void(ResultCode)>;

  /// Set before the first connection.
  void configure(RequestLimits NewLimits, std::size_t MaxHeldBytes,
                 BusyHook NewBusy, RefusedHook NewRefused);

  /// Takes other limits, for requests that begin from now on.
  void setLimits(const RequestLimits &NewLimits) { Limits = NewLimits; }

  /// Refuses heads that take too long and closes connections that have not
  /// been used for too long.
  void endOverdue();

  /// The room for bodies; whoever answers a request gives its body's back.
  BodyBudget &bodies() { return Bodies; }

  /// Says that an answer was written to a caller: the refusal of a bad request
  /// that came behind good ones follows it.
  void answerWritten(const asio::ip::tcp::endpoint &Caller);

  /// Ends the reading side of each connection without a request.
  void closeIdle();

  /// Closes every connection.
  void closeAll();

private:
  friend class GuardedConnection;
  void shutdown() override {}

  const Clock Now = Clock::monotonic();
  RequestLimits Limits;
  BodyBudget Bodies{0};
  BusyHook Busy;
  RefusedHook Refused;
  std::set<GuardedConnection *> Connections;
  /// Those that have sent something.
  std::map<asio::ip::tcp::endpoint, GuardedConnection *> ByCaller;
};

/// The parts of a connection that stay in place while its socket object moves.
class GuardedConnection {
public:
  using ReadHandler = std::function<void(const std::error_code &, std::size_t)>;

  explicit GuardedConnection(asio::io_context &Context);
  ~GuardedConnection();
  GuardedConnection(const GuardedConnection &) = delete;
  GuardedConnection &operator=(const GuardedConnection &) = delete;

  void read(asio::mutable_buffer Buffer, ReadHandler Handler);

  /// Ends the wait for room, because the socket is closed.
  void stopWaiting();

  /// Refuses the head that is being read, or closes the unused connection,
  /// where its time is over.
  void endOverdue();

  asio::ip::tcp::socket Socket;

private:
  friend class ConnectionRegistry;

  bool busy() const;
  void start(asio::mutable_buffer Buffer, ReadHandler Handler);
  void bookBody();
  void onRoom();
  void writeContinue();
  void inspect(asio::mutable_buffer Buffer, std::size_t Size,
               const ReadHandler &Handler);
  void takeCaller();
  void answerWritten();
  void refuse(ResultCode Reason);
  void writeRefusal();
  void discard(ReadHandler Handler);

  ConnectionRegistry &Registry;
  RequestGuard Guard;
  std::size_t Booked = 0;            ///< For the body that is being read.
  std::size_t Wanted = 0;            ///< Waits for so much room.
  std::function<void()> WaitingRead; ///< Goes on once there is room.
  asio::ip::tcp::endpoint Caller;
  TimeMs UsedAt;    ///< Newest byte read or answer written.
  TimeMs HeadSince; ///< First byte of the head that is being read.
  std::optional<ResultCode> Refusal; ///< Nothing is read any more.
  bool RefusalWritten = false;
  std::size_t Discarded = 0;
  std::array<char, 4096> Scratch{};
};

/// Has the interface of `asio::ip::tcp::socket` that RESTinio uses.
class GuardedSocket {
public:
  using executor_type = asio::ip::tcp::socket::executor_type; // NOLINT
  using lowest_layer_type = asio::ip::tcp::socket;            // NOLINT

  explicit GuardedSocket(asio::io_context &Context) : Context(&Context) {}

  // NOLINTBEGIN(readability-identifier-naming): asio's names.
  lowest_layer_type &lowest_layer() {
    // RESTinio accepts the next connection into the object it moved from.
    if (!Connection)
      Connection = std::make_unique<GuardedConnection>(*Context);
    return Connection->Socket;
  }

  executor_type get_executor() { return lowest_layer().get_executor(); }

  auto remote_endpoint() { return lowest_layer().remote_endpoint(); }

  bool is_open() { return lowest_layer().is_open(); }

  template <typename... Arguments> void cancel(Arguments &&...Values) {
    lowest_layer().cancel(std::forward<Arguments>(Values)...);
  }

  template <typename... Arguments> void shutdown(Arguments &&...Values) {
    lowest_layer().shutdown(std::forward<Arguments>(Values)...);
  }

  template <typename... Arguments> void close(Arguments &&...Values) {
    lowest_layer().close(std::forward<Arguments>(Values)...);
    Connection->stopWaiting();
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
