/// \file
/// The HTTP side towards the one target beside this node.
///
/// A node starts a request with \ref TargetClient::start and receives its one
/// result through a hook. The client never sends a request twice, says for
/// each failure whether the request ran, and never passes off a cut answer as
/// whole. It keeps no health of the target: what the results show is all there
/// is to know.

#ifndef FESCUEWOOD_TARGETS_TARGETCLIENT_H
#define FESCUEWOOD_TARGETS_TARGETCLIENT_H

#include "callers/HeaderScheme.h"
#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// A request as the target shall see it.
struct TargetRequest {
  std::string Method;
  std::string Target; ///< Path and query.
  std::vector<Header> Headers;
  std::string Body;
  /// Otherwise it gets a connection of its own, unless answers are proven.
  bool Idempotent = false;
  DurationMs Timeout{2000};
};

/// What became of one request.
struct TargetResult {
  std::optional<CallAnswer> Answer;   ///< Whole, or nothing.
  ResultCode Reason = ResultCode::Ok; ///< Why there is no answer.
  Outcome Ran = Outcome::Unknown;     ///< Whether the request ran.
  DurationMs Took{0};                 ///< From the start to the result.
};

/// Receives the one result of a request, on the client's thread; must not
/// block.
using TargetHook = std::function<void(TargetResult)>;

/// Address and bounds of a \ref TargetClient.
struct TargetClientOptions {
  std::string Address; ///< "IP:port" of the target.
  std::size_t MaxConnections = 130;
  std::size_t MaxAnswerBytes = 7 * 1024 * 1024; ///< Head and body together.
  std::size_t MaxRequests = 1024;               ///< Most requests held at once.
  DurationMs ConnectTimeout{1000};
  /// Names of the fields by which an answer is known to be the target's own and
  /// to belong to its request.
  HeaderScheme Scheme = {};
};

/// Sends requests to one target over HTTP/1.1. Thread-safe.
class TargetClient {
public:
  explicit TargetClient(TargetClientOptions Options);
  ~TargetClient();
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Sends a request and returns its id for \ref cancel. When the client is
  /// stopped or holds too many requests, nothing is sent, the hook is not
  /// called, and nothing is returned.
  std::optional<std::uint64_t> start(TargetRequest Request,
                                     TargetHook OnResult);

  /// Ends a request early. Its hook is called with TargetCancelled, unless its
  /// result came first.
  void cancel(std::uint64_t Id);

  /// Requests started whose hooks have not been called.
  std::size_t inFlight() const;

  /// Ends every request with Stopped and joins the thread.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_TARGETCLIENT_H
