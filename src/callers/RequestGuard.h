/// \file
/// Checks the bytes of a caller's connection against the limits, before the
/// HTTP server sees them.
///
/// RESTinio closes a connection whose request is malformed or too large
/// without a word. The guard parses the same bytes first, so that such a
/// request is refused with a status and a numbered reason.

#ifndef FESCUEWOOD_CALLERS_REQUESTGUARD_H
#define FESCUEWOOD_CALLERS_REQUESTGUARD_H

#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string_view>
#include <utility>

#include <http_parser.h>

namespace fescuewood {

/// Limits on one request.
struct RequestLimits {
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxHeaderFields = 0;
  std::size_t MaxBodyBytes = 0;
};

/// HTTP status with which a guard's reason is answered.
int refusalStatus(ResultCode Reason);

/// Follows the requests of one connection. Not movable: the parser refers to
/// it.
class RequestGuard {
public:
  explicit RequestGuard(RequestLimits Limits);
  RequestGuard(const RequestGuard &) = delete;
  RequestGuard &operator=(const RequestGuard &) = delete;

  /// Takes the next bytes. Returns Ok, or why the request must be refused;
  /// after that the guard is not used any more.
  ResultCode take(std::string_view Bytes);

  /// True between the first byte of a request and its last.
  bool inRequest() const { return InRequest; }

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

  const RequestLimits Limits;
  http_parser Parser{};
  ResultCode Violation = ResultCode::Ok;
  std::size_t HeadBytes = 0;
  std::size_t Fields = 0;
  std::size_t BodyBytes = 0;
  std::size_t BodyNeeded = 0;
  std::size_t ExpectMatched = 0; ///< Length of the field name's match so far.
  bool InName = false;
  bool Expected = false;
  bool ContinueWanted = false;
  bool InRequest = false;
  bool Completed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_REQUESTGUARD_H
