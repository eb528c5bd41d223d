/// \file
/// Checks the bytes of a caller's connection against the limits, before the
/// HTTP server sees them.
///
/// RESTinio closes a connection whose request is malformed or too large
/// without a word. The guard parses the same bytes first, so that such a
/// request is refused with a status and a numbered reason. It is also stricter
/// than RESTinio's parser: what one reader takes for the end of a request and
/// another does not lets a caller smuggle a second one.

#ifndef FESCUEWOOD_CALLERS_REQUESTGUARD_H
#define FESCUEWOOD_CALLERS_REQUESTGUARD_H

#include "callers/RequestLines.h"
#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <http_parser.h>

namespace fescuewood {

/// Limits on one request and on the connection that it comes on.
struct RequestLimits {
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxHeaderFields = 0;
  std::size_t MaxBodyBytes = 0;
  /// From a request's first byte to its head's end.
  std::optional<DurationMs> HeaderTimeout = std::nullopt;
  /// Until an unused connection is closed.
  std::optional<DurationMs> IdleTimeout = std::nullopt;
};

/// HTTP status with which a guard's reason is answered.
int refusalStatus(ResultCode Reason);

/// Follows the requests of one connection. Not movable: the parser refers to
/// it.
class RequestGuard {
public:
  /// \param Limits outlive the guard; each request is held to those that
  /// stand when it begins.
  explicit RequestGuard(const RequestLimits &Limits);
  RequestGuard(const RequestGuard &) = delete;
  RequestGuard &operator=(const RequestGuard &) = delete;

  /// Takes the next bytes. Returns Ok, or why the request must be refused;
  /// after that the guard is not used any more.
  ResultCode take(std::string_view Bytes);

  /// Of the bytes taken last, how many belong to requests that have ended.
  std::size_t bytesOfWhole() const { return WholeBytes; }

  /// True between the first byte of a request and its last.
  bool inRequest() const { return InRequest; }

  /// True from the first byte of a request to the end of its head.
  bool inHead() const { return InRequest && !HeadRead; }

  /// Length of the body that the request under way still has to send, as far
  /// as it is known, and the largest allowed otherwise; told once per request,
  /// and 0 afterwards or without such a body.
  std::size_t takeBodyNeeded() { return std::exchange(BodyNeeded, 0); }

  /// Whether a request has ended since this was asked last.
  bool takeCompleted() { return std::exchange(Completed, false); }

  /// True once per request whose caller waits for `100 Continue` before it
  /// sends the body.
  bool takeContinueWanted();

private:
  ResultCode parse(std::string_view Bytes);
  void expectContent();
  void noteField();
  ResultCode judgeHead() const;
  int onBegin();
  int onHead(std::size_t Bytes);
  int onFieldName(std::string_view Part);
  int onFieldValue(std::string_view Part);
  int onHeadComplete();
  int onBody(std::size_t Bytes);
  int onComplete();
  int violate(ResultCode Reason);
  void restart();

  static const http_parser_settings &callbacks();

  const RequestLimits &Present;
  RequestLimits Limits; ///< For the request under way.
  http_parser Parser{};
  RequestLines Lines;
  ResultCode Violation = ResultCode::Ok;
  std::size_t HeadBytes = 0;
  std::size_t Fields = 0;
  std::size_t BodyBytes = 0;
  std::size_t BodyNeeded = 0;
  std::uint64_t ContentLength = 0; ///< 0 without a body or in chunks.
  bool Chunked = false;
  std::size_t WholeBytes = 0;
  std::string Name;  ///< Of the field being read; no longer than those noted.
  std::string Value; ///< Of the same field; no longer than those noted.
  bool InName = false;
  unsigned Hosts = 0;
  bool CodingKnown = true; ///< Every transfer coding is `chunked`, once.
  unsigned Codings = 0;
  bool Expected = false;
  bool ContinueWanted = false;
  bool InRequest = false;
  bool HeadRead = false;
  bool Completed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_REQUESTGUARD_H
