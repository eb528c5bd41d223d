/// \file
/// A validator for the byte stream of a caller's connection, run before the
/// HTTP server parses it.
///
/// RESTinio closes a connection without an answer when a request is malformed
/// or too large. The guard parses the same bytes first, so that such a request
/// is refused with an HTTP status and a result code. It is also stricter than
/// RESTinio's parser: when two parsers disagree about where a request ends, a
/// caller can smuggle a second request.

#ifndef FESCUEWOOD_CALLERS_REQUESTGUARD_H
#define FESCUEWOOD_CALLERS_REQUESTGUARD_H

#include "callers/RequestLines.h"
#include "calls/Call.h"
#include "core/Clock.h"
#include "core/ResultCode.h"
#include "policy/TransferRate.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include <http_parser.h>

namespace fescuewood {

/// Limits on a request and its connection.
struct RequestLimits {
  std::size_t MaxHeaderBytes = 0;
  std::size_t MaxHeaderFields = 0;
  std::size_t MaxBodyBytes = 0;
  /// From the first byte of a request to the end of its head.
  std::optional<DurationMs> HeaderTimeout = std::nullopt;
  /// Time after which an unused connection is closed.
  std::optional<DurationMs> IdleTimeout = std::nullopt;
  TransferLimits Transfers = {};
};

/// How far the body of a request has been read.
struct BodyProgress {
  std::size_t ReadBytes = 0;
  std::size_t MaxBytes = 0; ///< Its length, or the limit if it is in chunks.
  bool LengthKnown = false;
};

/// The HTTP status for a refusal by \ref RequestGuard.
int refusalStatus(ResultCode Reason);

/// Memory of a chunk beside its bytes. RESTinio records 16 bytes per chunk, in
/// a vector that may have twice the capacity.
inline constexpr std::size_t ChunkOverheadBytes = 32;

/// Validates the requests of one connection. Not movable, since the parser
/// holds a pointer to it.
class RequestGuard {
public:
  /// \param Limits must outlive the guard; each request is checked against the
  ///               values at its beginning.
  explicit RequestGuard(const RequestLimits &Limits);
  RequestGuard(const RequestGuard &) = delete;
  RequestGuard &operator=(const RequestGuard &) = delete;

  /// Validates the next bytes. Returns Ok, or the reason for refusing the
  /// request, after which the guard must not be used.
  ResultCode consume(std::string_view Bytes);

  /// Number of bytes of the last \ref consume that belong to complete requests.
  std::size_t completeRequestBytes() const { return CompleteRequestBytes; }

  /// True from the first byte of a request until its last.
  bool isInRequest() const { return InRequest; }

  /// True from the first byte of a request to the end of its head.
  bool isInHead() const { return InRequest && !HeadComplete; }

  /// Whether the last request has ended that the connection carries, since it
  /// asked to close it. Bytes behind it are no request (RFC 9112, section 9.6).
  bool isClosed() const { return Closed; }

  /// The body that is being read; empty between and before bodies.
  std::optional<BodyProgress> body() const;

  /// Memory that RESTinio holds for the request that is being read.
  std::size_t heldBytes() const;

  /// Whether a request was completed since the last call.
  bool takeRequestCompleted() { return std::exchange(RequestCompleted, false); }

  /// True once per request whose caller waits for `100 Continue` before sending
  /// the body.
  bool takeContinueRequested();

private:
  ResultCode parse(std::string_view Bytes);
  void expectContent();
  void recordField();
  ResultCode validateHead() const;
  int onMessageBegin();
  int addHeadBytes(std::size_t Bytes);
  int onFieldName(std::string_view Part);
  int onFieldValue(std::string_view Part);
  int onHeadComplete();
  int onBody(std::size_t Bytes);
  int onMessageComplete();
  int reportViolation(ResultCode Reason);
  void resetParser();

  static const http_parser_settings &callbacks();

  const RequestLimits &LatestLimits;
  RequestLimits Limits; ///< For the current request.
  http_parser Parser{};
  RequestLines Lines;
  ResultCode Violation = ResultCode::Ok;
  std::size_t HeadBytes = 0;
  std::size_t FieldCount = 0;
  std::size_t BodyBytes = 0;
  std::size_t ChunkCount = 0;
  std::uint64_t ContentLength = 0; ///< 0 if there is no body or it is chunked.
  bool Chunked = false;
  std::size_t CompleteRequestBytes = 0;
  std::string FieldName;  ///< Name of the current field, truncated.
  std::string FieldValue; ///< Value of the current field, truncated.
  bool InFieldName = false;
  unsigned HostFields = 0;
  bool CodingSupported = true; ///< All codings so far are `chunked`.
  unsigned CodingFields = 0;
  bool HasExpectField = false;
  bool ContinueRequested = false;
  bool InRequest = false;
  bool HeadComplete = false;
  bool RequestCompleted = false;
  bool Closed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_REQUESTGUARD_H
