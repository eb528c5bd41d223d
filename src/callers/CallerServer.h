/// \file
/// The HTTP side towards callers: takes requests and sends their answers.
///
/// A node opens one \ref CallerServer with a hook that receives each whole
/// request. The hook answers when it likes, from any thread, exactly once.
/// Malformed and oversized requests never reach it: the server refuses them
/// with a numbered reason and the usual HTTP status. One thread serves all.

#ifndef FESCUEWOOD_CALLERS_CALLERSERVER_H
#define FESCUEWOOD_CALLERS_CALLERSERVER_H

#include "callers/HeaderScheme.h"
#include "calls/Call.h"
#include "core/Clock.h"
#include "core/Event.h"
#include "core/ResultCode.h"
#include "intent/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// A whole request from a caller; hop-by-hop fields are removed.
struct CallerRequest {
  std::uint64_t Number = 0; ///< Unique in this process, for \ref GoneHook.
  std::string Method;
  std::string Target; ///< Path and query, as the caller sent them.
  std::vector<Header> Headers;
  std::string Body;
  std::optional<DurationMs> Remaining; ///< Time left, when the caller said so.
  std::uint8_t Depth = 0;              ///< Calls above this one.
};

/// Receives each request on the server's thread; must not block.
using CallerHook = std::function<void(CallerRequest, AnswerHook)>;

/// Called on the server's thread when a caller's connection ended before its
/// request was answered; the answer is then dropped.
using GoneHook = std::function<void(std::uint64_t Number)>;

/// Limits and address of a \ref CallerServer.
struct CallerServerOptions {
  std::string Address = "127.0.0.1";      ///< IP literal to listen on.
  std::uint16_t Port = 0;                 ///< 0 takes any free port.
  std::size_t MaxHeaderBytes = 32 * 1024; ///< Request line and all fields.
  std::size_t MaxHeaderFields = 100;
  std::size_t MaxBodyBytes = 4 * 1024 * 1024;
  /// Bodies of unanswered requests together. A connection whose next body
  /// would go beyond is not read until there is room.
  std::size_t MaxHeldBytes = 8 * 1024 * 1024;
  std::size_t MaxConnections = 1024;
  DurationMs ReadTimeout{60'000};  ///< For a whole request, idle time included.
  DurationMs WriteTimeout{60'000}; ///< For an answer that is not taken.
  DurationMs DrainGrace{
      500};                 ///< Idle connections stay open as long in a drain.
  HeaderScheme Scheme = {}; ///< Names of the fields that the server reads.
};

/// An HTTP/1.1 server for callers.
class CallerServer {
public:
  CallerServer(CallerServerOptions Options, CallerHook OnRequest,
               GoneHook OnGone, EventHook OnEvent);
  ~CallerServer();
  CallerServer(const CallerServer &) = delete;
  CallerServer &operator=(const CallerServer &) = delete;

  /// Listens and starts the thread. Returns false with \ref lastReason
  /// (AddressInvalid, AddressBusy) when it cannot listen.
  bool start();

  /// The port that is listened on, once started.
  std::uint16_t port() const;

  /// Holds callers to the limits that the operators declare, if any, as well as
  /// to the options; from any thread. A time of 0 means no limit.
  void setLimits(const std::optional<CallerLimits> &Declared);

  /// Refuses new connections, closes idle ones after the grace and ends the
  /// others after the answer under way (`Connection: close`). Requests that
  /// arrive until then are still served. From any thread; returns at once.
  void stopAccepting();

  /// Requests given to the hook whose answers are not wholly written yet. In a
  /// drain also each connection that is still open, since a request may be
  /// under way on it; 0 then means that nothing is left.
  std::size_t unanswered() const;

  /// Closes everything and joins the thread. Answers not written are lost, so
  /// a drain calls \ref stopAccepting and waits for \ref unanswered to be 0.
  void stop();

  /// Why the last \ref start returned false.
  ResultCode lastReason() const;

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_CALLERSERVER_H
