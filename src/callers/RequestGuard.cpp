#include "callers/RequestGuard.h"

#include "callers/HeaderFields.h"

#include <algorithm>
#include <limits>

namespace fescuewood {

namespace {

/// Length of the longest recorded name or value plus one byte, which
/// distinguishes longer ones from it.
constexpr std::size_t MaxNotedBytes = 18;

/// Appends \p Part, truncated to what comparisons with recorded fields need.
void appendNoted(std::string &Text, std::string_view Part) {
  Text.append(
      Part.substr(0, MaxNotedBytes - std::min(MaxNotedBytes, Text.size())));
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
    return 408;
  default:
    return 400;
  }
}

RequestGuard::RequestGuard(const RequestLimits &Limits)
    : Present(Limits), Limits(Limits) {
  restart();
}

ResultCode RequestGuard::take(std::string_view Bytes) {
  WholeBytes = 0;
  std::size_t Taken = 0;
  while (Taken < Bytes.size()) {
    const std::string_view Part = Lines.takePart(Bytes.substr(Taken));
    const ResultCode Reason = parse(Part);
    if (Reason != ResultCode::Ok)
      return Reason;
    if (!Lines.valid())
      return ResultCode::RequestMalformed;
    Taken += Part.size();
    if (Lines.headEnded())
      expectContent();
    if (!InRequest)
      WholeBytes = Taken;
  }
  return ResultCode::Ok;
}

ResultCode RequestGuard::parse(std::string_view Bytes) {
  const std::size_t Parsed =
      http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
  if (Violation != ResultCode::Ok)
    return Violation;
  const auto Error = static_cast<http_errno>(Parser.http_errno);
  // Bytes after a request that closes the connection are ignored.
  if (Error == HPE_CLOSED_CONNECTION)
    return ResultCode::Ok;
  if (Error != HPE_OK)
    return reasonFor(Error);
  // The parser stops after an upgrade request, which is served as plain HTTP.
  if (Parser.upgrade)
    restart();
  // Both parsers must agree on the end of the request.
  return Parsed == Bytes.size() ? ResultCode::Ok : ResultCode::RequestMalformed;
}

void RequestGuard::expectContent() {
  if (Chunked)
    Lines.expectChunks();
  else
    Lines.expectBody(ContentLength);
}

bool RequestGuard::takeContinueWanted() {
  const bool Wanted = ContinueWanted && InRequest && BodyBytes == 0;
  ContinueWanted = false;
  return Wanted;
}

void RequestGuard::restart() {
  http_parser_init(&Parser, HTTP_REQUEST);
  Parser.data = this;
}

int RequestGuard::onBegin() {
  Limits = Present;
  HeadRead = false;
  HeadBytes = 0;
  Fields = 0;
  BodyBytes = 0;
  ContentLength = 0;
  Chunked = false;
  InName = false;
  Name.clear();
  Value.clear();
  Hosts = 0;
  Codings = 0;
  CodingKnown = true;
  Expected = false;
  ContinueWanted = false;
  InRequest = true;
  return 0;
}

int RequestGuard::onHead(std::size_t Bytes) {
  HeadBytes += Bytes;
  if (HeadBytes > Limits.MaxHeaderBytes)
    return violate(ResultCode::RequestHeadTooLarge);
  return 0;
}

int RequestGuard::onFieldName(std::string_view Part) {
  // Names and values may be split across several callbacks.
  if (!InName) {
    noteField();
    InName = true;
    if (++Fields > Limits.MaxHeaderFields)
      return violate(ResultCode::RequestHeadTooLarge);
  }
  appendNoted(Name, Part);
  return onHead(Part.size());
}

int RequestGuard::onFieldValue(std::string_view Part) {
  InName = false;
  appendNoted(Value, Part);
  return onHead(Part.size());
}

/// Records the most recent field if it affects validation.
void RequestGuard::noteField() {
  if (sameFieldName(Name, "Host")) {
    ++Hosts;
  } else if (sameFieldName(Name, "Transfer-Encoding")) {
    ++Codings;
    CodingKnown = CodingKnown && sameFieldName(Value, "chunked");
  } else if (sameFieldName(Name, "Expect")) {
    // `100-continue` is the only expectation defined by HTTP.
    Expected = true;
  }
  Name.clear();
  Value.clear();
}

/// Applies the RFC 9112 rules for `Host` (section 3.2) and `Transfer-Encoding`
/// (section 6.1).
ResultCode RequestGuard::judgeHead() const {
  const bool Http10 = isHttp10(Parser);
  if (Hosts > 1 || (Hosts == 0 && !Http10))
    return ResultCode::RequestMalformed;
  if (!CodingKnown || Codings > 1 || (Codings == 1 && Http10))
    return ResultCode::RequestMalformed;
  return ResultCode::Ok;
}

int RequestGuard::onHeadComplete() {
  HeadRead = true;
  noteField();
  constexpr auto NoLength = std::numeric_limits<std::uint64_t>::max();
  const bool LengthGiven = Parser.content_length != NoLength;
  if (LengthGiven && Parser.content_length > Limits.MaxBodyBytes)
    return violate(ResultCode::RequestBodyTooLarge);
  if (Parser.method == HTTP_CONNECT)
    return violate(ResultCode::MethodUnknown);
  if (const ResultCode Reason = judgeHead(); Reason != ResultCode::Ok)
    return violate(Reason);
  ContinueWanted = Expected;
  Chunked = (Parser.flags & F_CHUNKED) != 0;
  ContentLength = LengthGiven ? Parser.content_length : 0;
  if (Chunked)
    BodyNeeded = Limits.MaxBodyBytes;
  else
    BodyNeeded = static_cast<std::size_t>(ContentLength);
  return 0;
}

int RequestGuard::onBody(std::size_t Bytes) {
  BodyBytes += Bytes;
  if (BodyBytes > Limits.MaxBodyBytes)
    return violate(ResultCode::RequestBodyTooLarge);
  return 0;
}

int RequestGuard::onComplete() {
  InRequest = false;
  BodyNeeded = 0;
  Completed = true;
  return 0;
}

int RequestGuard::violate(ResultCode Reason) {
  Violation = Reason;
  constexpr int StopParsing = -1;
  return StopParsing;
}

const http_parser_settings &RequestGuard::callbacks() {
  static const http_parser_settings Settings = [] {
    http_parser_settings S;
    http_parser_settings_init(&S);
    S.on_message_begin = [](http_parser *P) {
      return static_cast<RequestGuard *>(P->data)->onBegin();
    };
    S.on_url = [](http_parser *P, const char *, std::size_t Size) {
      return static_cast<RequestGuard *>(P->data)->onHead(Size);
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
    S.on_message_complete = [](http_parser *P) {
      return static_cast<RequestGuard *>(P->data)->onComplete();
    };
    return S;
  }();
  return Settings;
}

} // namespace fescuewood
