/// \file
/// The RESTinio server behind \ref CallerServer. Internal to the package.

#ifndef FESCUEWOOD_CALLERS_CALLERSERVERCORE_H
#define FESCUEWOOD_CALLERS_CALLERSERVERCORE_H

#include "callers/CallerServer.h"
#include "callers/GuardedTraits.h"

#include <atomic>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <thread>

#include <restinio/all.hpp>

namespace fescuewood {

class CallerServerCore;

/// Notifies the core of each opened and closed connection.
class ConnectionListener {
public:
  explicit ConnectionListener(CallerServerCore &Core) : Core(Core) {}

  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name.
  void state_changed(const restinio::connection_state::notice_t &Notice);

private:
  CallerServerCore &Core;
};

/// Single-threaded RESTinio server that reads through \ref GuardedSocket.
struct CallerServerTraits : public GuardedTraits {
  // NOLINTNEXTLINE(readability-identifier-naming): RESTinio's name.
  using connection_state_listener_t = ConnectionListener;
};

/// Owns the HTTP server and the requests whose answers are not written. All
/// state except the atomic counters is confined to the server's thread.
class CallerServerCore : public std::enable_shared_from_this<CallerServerCore> {
public:
  CallerServerCore(CallerServerOptions Options, RequestHook OnRequest,
                   DisconnectHook OnDisconnect, EventHook OnEvent);
  ~CallerServerCore();
  CallerServerCore(const CallerServerCore &) = delete;
  CallerServerCore &operator=(const CallerServerCore &) = delete;

  bool start();
  std::uint16_t port() const { return Port; }
  void stopAccepting();
  std::size_t unansweredCount() const;
  std::size_t pendingCount() const { return Unanswered; }
  void stop();
  void setLimits(const std::optional<CallerLimits> &DeclaredLimits);
  ResultCode lastReason() const { return LastReason; }
  CallerServerStatus status() const;

private:
  friend class ConnectionListener;
  using Server = restinio::http_server_t<CallerServerTraits>;

  /// A request whose answer is not completely written.
  struct PendingRequest {
    restinio::request_handle_t Handle; ///< Null once its answer is written.
    restinio::connection_id_t Connection = 0;
    asio::ip::tcp::endpoint Endpoint;
    std::string Method;
    std::string Id;        ///< Request ID given by the caller.
    StreamShare Body = {}; ///< Memory of its body until it is answered.
    std::size_t Bytes = 0; ///< Held for it and its answer.
    TimeMs ReceivedAt = TimeMs(0);
    bool Submitted = false; ///< Passed to the hook.
    /// Waits for the answers to earlier requests of the connection.
    std::optional<CallAnswer> Answer = std::nullopt;

    bool isAnswered() const { return Answer || !Handle; }
  };

  restinio::server_settings_t<CallerServerTraits>
  settings(const asio::ip::address &Address);
  void runThread();

  restinio::request_handling_status_t
  handleRequest(const restinio::request_handle_t &Handle);
  void submitNext(restinio::connection_id_t Connection);
  void submit(std::uint64_t Number, PendingRequest &Request);
  AnswerHook answerHook(std::uint64_t Number);
  void answer(std::uint64_t Number, CallAnswer Answer);
  void writeNext(restinio::connection_id_t Connection);
  void write(std::uint64_t Number, PendingRequest &Request);
  void onWritten(std::uint64_t Number);
  bool closesConnection(const PendingRequest &Request);
  void connectionOpened(restinio::connection_id_t Connection);
  void connectionClosed(restinio::connection_id_t Connection);
  bool hasUnansweredRequest(const asio::ip::tcp::endpoint &Endpoint) const;
  void removePending(std::uint64_t Number);
  void reportUnwrittenAnswer(const PendingRequest &Request);
  void reportRefusal(ResultCode Reason);
  void reportClosing(ClosingReason Reason);
  void closeAcceptor();
  void closeIdleAfterGrace();
  RequestLimits configuredLimits() const;
  void scheduleOverdueCheck();

  const CallerServerOptions Options;
  const RequestHook OnRequest;
  const DisconnectHook OnDisconnect;
  const EventHook OnEvent;
  const Clock MonotonicClock = Clock::monotonic();
  ResultCode LastReason = ResultCode::Ok;
  std::uint16_t Port = 0;
  std::atomic<std::size_t> Unanswered = 0;
  std::atomic<std::size_t> OpenConnections = 0;
  std::atomic<bool> Draining = false;
  std::atomic<bool> InGracePeriod = false;
  bool Stopping = false; ///< On the thread of the server only.

  asio::io_context Context{1};
  ConnectionRegistry &Registry;
  asio::steady_timer GraceTimer{Context};
  asio::steady_timer OverdueTimer{Context};
  std::optional<asio::executor_work_guard<asio::io_context::executor_type>>
      WorkGuard;
  std::unique_ptr<Server> Http;
  std::map<std::uint64_t, PendingRequest> PendingRequests;
  /// The pending requests of each open connection, in order of arrival.
  std::map<restinio::connection_id_t, std::set<std::uint64_t>> OpenRequests;
  std::uint64_t LastRequestNumber = 0;
  std::thread Thread;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_CALLERSERVERCORE_H
