/// \file
/// The HTTP server through which callers reach a node.
///
/// A node opens one \ref CallerServer with a hook that receives each complete
/// request. Each request is answered exactly once, asynchronously and from any
/// thread. Malformed and oversized requests never reach the hook: the server
/// refuses them with a result code and the corresponding HTTP status. A single
/// thread serves all connections.

#ifndef FESCUEWOOD_CALLERS_CALLERSERVER_H
#define FESCUEWOOD_CALLERS_CALLERSERVER_H

#include "callers/HeaderScheme.h"
#include "calls/Call.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "core/ResultCode.h"
#include "intent/Snapshot.h"
#include "policy/TransferRate.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// A complete request from a caller, without hop-by-hop fields.
struct CallerRequest {
  /// Unique in this process; passed to \ref DisconnectHook.
  std::uint64_t Number = 0;
  std::string Method;
  std::string Target; ///< Path and query, as the caller sent them.
  std::vector<Header> Headers;
  std::string Body;
  std::optional<DurationMs> Remaining; ///< Time left, if the caller states it.
  std::uint8_t Depth = 0;              ///< Number of enclosing calls.
};

/// Receives each request on the server's thread; must not block.
using RequestHook = std::function<void(CallerRequest, AnswerHook)>;

/// Called on the server's thread when a caller's connection closes before its
/// request is answered. The answer is then dropped.
using DisconnectHook = std::function<void(std::uint64_t Number)>;

/// Configuration of a \ref CallerServer.
struct CallerServerOptions {
  std::string Address = "127.0.0.1";      ///< IP literal to listen on.
  std::uint16_t Port = 0;                 ///< 0 selects any free port.
  std::size_t MaxHeaderBytes = 32 * 1024; ///< Request line and fields.
  std::size_t MaxBodyBytes = 4 * 1024 * 1024;
  /// Limit on the large bodies of all unanswered requests, beside the oldest
  /// one. A connection whose body would exceed it is not read until enough
  /// memory is released.
  std::size_t MaxHeldBytes = 8 * 1024 * 1024;
  std::size_t MaxConnections = 1024;
  /// Limit on all that is held for callers, see \ref ClientMemory.
  std::size_t MaxClientBytes = 64 * 1024 * 1024;
  /// For a request head and for an idle connection, unless operators declare
  /// shorter times.
  DurationMs ReadTimeout{60'000};
  TransferLimits Transfers = {};
  DurationMs WriteTimeout{60'000}; ///< Per answer that is not read.
  /// Time for which idle connections stay open in a drain.
  DurationMs DrainGrace{500};
  HeaderScheme Scheme = {}; ///< Names of the fields that the server reads.
};

/// What a server holds for its callers.
struct CallerServerStatus {
  std::size_t Connections = 0;
  std::size_t HeldBytes = 0;
  std::size_t LimitBytes = 0;
  std::uint64_t ClosedConnections = 0; ///< In favour of others, so far.
  std::uint64_t SlowClients = 0; ///< Refused or closed for their rate or time.
};

/// An HTTP/1.1 server for callers.
class CallerServer {
public:
  CallerServer(CallerServerOptions Options, RequestHook OnRequest,
               DisconnectHook OnDisconnect, EventHook OnEvent);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Listens and starts the server thread. On failure returns false and sets
  /// \ref lastReason to AddressInvalid or AddressBusy.
  bool start();

  /// Listening port; valid after \ref start.
  std::uint16_t port() const;

  /// Enforces the limits that operators declare, if any, in addition to those
  /// of the options. A duration of 0 means no limit. Thread-safe.
  void setLimits(const std::optional<CallerLimits> &DeclaredLimits);

  /// Starts a drain: refuses new connections, closes idle ones after the grace
  /// period and the others after their current answer (`Connection: close`).
  /// Requests that arrive before that are still served. Thread-safe; does not
  /// block.
  void stopAccepting();

  /// Number of requests passed to the hook whose answers are not completely
  /// written. In a drain, open connections count as well, since a request may
  /// be in transit on them; 0 then means that the drain is complete.
  std::size_t unansweredCount() const;

  /// Number of requests passed to the hook whose answers are not completely
  /// written. Thread-safe.
  std::size_t pendingCount() const;

  /// What the server holds for its callers now. Thread-safe.
  CallerServerStatus status() const;

  /// Closes all connections and joins the thread. Unwritten answers are lost;
  /// for a graceful shutdown, call \ref stopAccepting first and wait until
  /// \ref unansweredCount is 0.
  void stop();

  /// Reason for the most recent failure of \ref start.
  ResultCode lastReason() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_CALLERSERVER_H
