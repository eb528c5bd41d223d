/// \file
/// The HTTP client for the target colocated with this node.
///
/// A node starts a request with \ref TargetClient::start and receives exactly
/// one result through a hook. The client never sends a request twice, reports
/// for each failure whether the request ran, and never returns a truncated
/// answer as complete. It does not track the target's health; callers derive it
/// from the results.

#ifndef FESCUEWOOD_TARGETS_TARGETCLIENT_H
#define FESCUEWOOD_TARGETS_TARGETCLIENT_H

#include "callers/HeaderScheme.h"
#include "calls/Call.h"
#include "calls/TargetPort.h"
#include "core/Clock.h"
#include "core/ResultCode.h"
#include "policy/TargetNotice.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// A request to the target.
struct TargetRequest {
  std::string Method;
  std::string Target; ///< Path and query.
  std::vector<Header> Headers;
  std::string Body;
  /// If false, the request uses a new connection, unless the scheme has signed
  /// answers.
  bool Idempotent = false;
  DurationMs Timeout{2000};
};

/// The result of one request.
struct TargetResult {
  std::optional<CallAnswer> Answer;      ///< Complete answer, if any.
  ResultCode Reason = ResultCode::Ok;    ///< Reason for a missing answer.
  Outcome RunOutcome = Outcome::Unknown; ///< Whether the request ran.
  DurationMs Duration{0};                ///< Time from start to result.
  /// What the target says about itself; set for each complete answer of the
  /// intended target to this request, also for one that refuses it.
  std::optional<TargetNotice> Notice = std::nullopt;
  ConnectionUse Use = {};
};

/// Receives the result of a request, on the client's thread; must not block.
using TargetHook = std::function<void(TargetResult)>;

/// Configuration of a \ref TargetClient.
struct TargetClientOptions {
  std::string Address; ///< "IP:port" of the target.
  std::size_t MaxConnections = 130;
  std::size_t MaxAnswerBytes =
      7 * 1024 * 1024; ///< Limit on head plus body, as they are sent.
  std::size_t MaxRequests = 1024; ///< Limit on unfinished requests.
  /// A connection is closed after so many requests, which bounds the IDs that
  /// are kept of them.
  std::uint32_t MaxConnectionRequests = 1024;
  DurationMs ConnectTimeout{1000};
  /// Names of the fields that authenticate an answer and associate it with its
  /// request.
  HeaderScheme Scheme = {};
  /// Limit on the large answers that are being received, beside the oldest
  /// one. An answer that would exceed it is not read on until there is room.
  std::size_t MaxReceivingBytes = 24 << 20;
};

/// Sends requests to one target over HTTP/1.1. Thread-safe.
class TargetClient {
public:
  explicit TargetClient(TargetClientOptions Options);
  ~TargetClient();
  TargetClient(const TargetClient &) = delete;
  TargetClient &operator=(const TargetClient &) = delete;

  /// Sends a request and returns its ID for \ref cancel. Returns std::nullopt
  /// and does not call the hook when the client is stopped or the number of
  /// unfinished requests is at its limit.
  std::optional<std::uint64_t> start(TargetRequest Request,
                                     TargetHook OnResult);

  /// Cancels a request. Its hook is called with TargetCancelled, unless the
  /// request has already finished.
  void cancel(std::uint64_t Id);

  /// Number of unfinished requests.
  std::size_t inFlight() const;

  /// Bytes received so far of the answers of unfinished requests.
  std::size_t receivingBytes() const;

  /// Ends all requests with the reason Stopped and joins the thread.
  void stop();

private:
  class Impl;
  std::unique_ptr<Impl> State;
};

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_TARGETCLIENT_H
