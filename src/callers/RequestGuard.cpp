#include "callers/RequestGuard.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <limits>

namespace fescuewood {

namespace {

/// Length of the longest recorded name or value plus one byte, which
/// distinguishes longer ones from it.
constexpr std::size_t MaxRecordedBytes = 18;

/// Appends \p Part, truncated to what comparisons with recorded fields need.
void appendRecorded(std::string &Text, std::string_view Part) {
  Text.append(Part.substr(0, MaxRecordedBytes -
                                 std::min(MaxRecordedBytes, Text.size())));
}

bool isHttp10(const http_parser &Parser) {
  return Parser.http_major == 1 && Parser.http_minor == 0;
}

ResultCode reasonFor(http_errno Error) {
  switch (Error) {
  case HPE_INVALID_METHOD:
    return ResultCode::MethodUnknown;
  case HPE_HEADER_OVERFLOW:
    return ResultCode::RequestHeadTooLarge;
  default:
    return ResultCode::RequestMalformed;
  }
}

} // namespace

int refusalStatus(ResultCode Reason) {
  switch (Reason) {
  case ResultCode::RequestHeadTooLarge:
    return 431;
  case ResultCode::RequestBodyTooLarge:
    return 413;
  case ResultCode::MethodUnknown:
    return 501;
  case ResultCode::RequestHeadTimeout:
  case ResultCode::RequestTooSlow:
  case ResultCode::RequestTimeout:
    return 408;
  case ResultCode::CallerMemoryFull:
    return 503;
  default:
    return 400;
  }
}

RequestGuard::RequestGuard(const RequestLimits &Limits)
    : LatestLimits(Limits), Limits(Limits) {
  resetParser();
}

ResultCode RequestGuard::consume(std::string_view Bytes) {
  CompleteRequestBytes = 0;
  std::size_t Consumed = 0;
  while (Consumed < Bytes.size() && !Closed) {
    const std::string_view Part = Lines.consumePart(Bytes.substr(Consumed));
    const ResultCode Reason = parse(Part);
    if (Reason != ResultCode::Ok)
      return Reason;
    if (!Lines.valid())
      return ResultCode::RequestMalformed;
    Consumed += Part.size();
    if (Lines.isHeadComplete())
      expectContent();
    if (!InRequest)
      CompleteRequestBytes = Consumed;
  }
  return ResultCode::Ok;
}

ResultCode RequestGuard::parse(std::string_view Bytes) {
  const std::size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (Violation != ResultCode::Ok)
    return Violation;
  const auto Error = static_cast<http_errno>(Parser.http_errno);
  if (Error != HPE_OK)
    return reasonFor(Error);
  // The parser stops after an upgrade request, which is served as plain HTTP.
  if (Parser.upgrade)
    resetParser();
  // Both parsers must agree on the end of the request.
  return Parsed == Bytes.size() ? ResultCode::Ok : ResultCode::RequestMalformed;
}

void RequestGuard::expectContent() {
  if (Chunked)
    Lines.expectChunks();
  else
    Lines.expectBody(ContentLength);
}

std::optional<BodyProgress> RequestGuard::body() const {
  if (!InRequest || !HeadComplete)
    return std::nullopt;
  const std::size_t Overhead = ChunkCount * ChunkOverheadBytes;
  const std::size_t MaxBytes = Chunked
                                   ? Limits.MaxBodyBytes + Overhead
                                   : static_cast<std::size_t>(ContentLength);
  return BodyProgress{BodyBytes + Overhead, MaxBytes, !Chunked};
}

std::size_t RequestGuard::heldBytes() const {
  if (!InRequest)
    return 0;
  return HeadBytes + FieldCount * FieldOverheadBytes + BodyBytes +
         ChunkCount * ChunkOverheadBytes;
}

bool RequestGuard::takeContinueRequested() {
  const bool Requested = ContinueRequested && InRequest && BodyBytes == 0;
  ContinueRequested = false;
  return Requested;
}

void RequestGuard::resetParser() {
  http_parser_init(&Parser, HTTP_REQUEST);
  Parser.data = this;
}

int RequestGuard::onMessageBegin() {
  Limits = LatestLimits;
  HeadComplete = false;
  HeadBytes = 0;
  FieldCount = 0;
  BodyBytes = 0;
  ChunkCount = 0;
  ContentLength = 0;
  Chunked = false;
  InFieldName = false;
  FieldName.clear();
  FieldValue.clear();
  HostFields = 0;
  CodingFields = 0;
  CodingSupported = true;
  HasExpectField = false;
  ContinueRequested = false;
  InRequest = true;
  return 0;
}

int RequestGuard::addHeadBytes(std::size_t Bytes) {
  HeadBytes += Bytes;
  if (HeadBytes > Limits.MaxHeaderBytes)
    return reportViolation(ResultCode::RequestHeadTooLarge);
  return 0;
}

int RequestGuard::onFieldName(std::string_view Part) {
  // Names and values may be split across several callbacks.
  if (!InFieldName) {
    recordField();
    InFieldName = true;
    if (++FieldCount > Limits.MaxHeaderFields)
      return reportViolation(ResultCode::RequestHeadTooLarge);
  }
  appendRecorded(FieldName, Part);
  return addHeadBytes(Part.size());
}

int RequestGuard::onFieldValue(std::string_view Part) {
  InFieldName = false;
  appendRecorded(FieldValue, Part);
  return addHeadBytes(Part.size());
}

/// Records the most recent field if it affects validation.
void RequestGuard::recordField() {
  if (isSameFieldName(FieldName, "Host")) {
    ++HostFields;
  } else if (isSameFieldName(FieldName, "Transfer-Encoding")) {
    ++CodingFields;
    CodingSupported = CodingSupported && isSameFieldName(FieldValue, "chunked");
  } else if (isSameFieldName(FieldName, "Expect")) {
    // `100-continue` is the only expectation defined by HTTP.
    HasExpectField = true;
  }
  FieldName.clear();
  FieldValue.clear();
}

/// Applies the RFC 9112 rules for `Host` (section 3.2) and `Transfer-Encoding`
/// (section 6.1).
ResultCode RequestGuard::validateHead() const {
  const bool IsHttp10 = isHttp10(Parser);
  if (HostFields > 1 || (HostFields == 0 && !IsHttp10))
    return ResultCode::RequestMalformed;
  if (!CodingSupported || CodingFields > 1 || (CodingFields == 1 && IsHttp10))
    return ResultCode::RequestMalformed;
  return ResultCode::Ok;
}

int RequestGuard::onHeadComplete() {
  HeadComplete = true;
  recordField();
  constexpr auto NoLength = std::numeric_limits<std::uint64_t>::max();
  const bool HasLength = Parser.content_length != NoLength;
  if (HasLength && Parser.content_length > Limits.MaxBodyBytes)
    return reportViolation(ResultCode::RequestBodyTooLarge);
  if (Parser.method == HTTP_CONNECT)
    return reportViolation(ResultCode::MethodUnknown);
  if (const ResultCode Reason = validateHead(); Reason != ResultCode::Ok)
    return reportViolation(Reason);
  ContinueRequested = HasExpectField;
  Chunked = (Parser.flags & F_CHUNKED) != 0;
  ContentLength = HasLength ? Parser.content_length : 0;
  return 0;
}

int RequestGuard::onBody(std::size_t Bytes) {
  BodyBytes += Bytes;
  if (BodyBytes > Limits.MaxBodyBytes)
    return reportViolation(ResultCode::RequestBodyTooLarge);
  return 0;
}

int RequestGuard::onMessageComplete() {
  InRequest = false;
  RequestCompleted = true;
  Closed = http_should_keep_alive(&Parser) == 0;
  return 0;
}

int RequestGuard::reportViolation(ResultCode Reason) {
  Violation = Reason;
  constexpr int StopParsing = -1;
  return StopParsing;
}

const http_parser_settings &RequestGuard::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_message_begin = [](http_parser *P) {
      return static_cast<RequestGuard *>(P->data)->onMessageBegin();
    };
    S.on_url = [](http_parser *P, const char *, std::size_t Size) {
      return static_cast<RequestGuard *>(P->data)->addHeadBytes(Size);
    };
    S.on_header_field = [](http_parser *P, const char *Data, std::size_t Size) {
      return static_cast<RequestGuard *>(P->data)->onFieldName({Data, Size});
    };
    S.on_header_value = [](http_parser *P, const char *Data, std::size_t Size) {
      return static_cast<RequestGuard *>(P->data)->onFieldValue({Data, Size});
    };
    S.on_headers_complete = [](http_parser *P) {
      return static_cast<RequestGuard *>(P->data)->onHeadComplete();
    };
    S.on_body = [](http_parser *P, const char *, std::size_t Size) {
      return static_cast<RequestGuard *>(P->data)->onBody(Size);
    };
    S.on_chunk_header = [](http_parser *P) {
      ++static_cast<RequestGuard *>(P->data)->ChunkCount;
      return 0;
    };
    S.on_message_complete = [](http_parser *P) {
      return static_cast<RequestGuard *>(P->data)->onMessageComplete();
    };
    return S;
  }();
  return Settings;
}

} // namespace fescuewood
