#include "callers/RequestGuard.h"

#include "callers/HeaderFields.h"

#include <limits>

namespace fescuewood {

namespace {

constexpr std::string_view ExpectName = "Expect";

/// A field name that cannot be `Expect` any more.
constexpr std::size_t Mismatch = std::numeric_limits<std::size_t>::max();

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
  default:
    return 400;
  }
}

RequestGuard::RequestGuard(RequestLimits Limits) : Limits(Limits) { restart(); }

ResultCode RequestGuard::take(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const std::size_t Parsed =
        http_parser_execute(&Parser, &callbacks(), Bytes.data(), Bytes.size());
    if (Violation != ResultCode::Ok)
      return Violation;
    const auto Error = static_cast<http_errno>(Parser.http_errno);
    // Bytes after a request that closes the connection are never answered.
    if (Error == HPE_CLOSED_CONNECTION)
      return ResultCode::Ok;
    if (Error != HPE_OK)
      return reasonFor(Error);
    Bytes.remove_prefix(Parsed);
    // The parser stops after a request to upgrade, which is served as HTTP.
    if (Parser.upgrade)
      restart();
  }
  return ResultCode::Ok;
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
  HeadBytes = 0;
  Fields = 0;
  BodyBytes = 0;
  InName = false;
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
  if (!InName) {
    InName = true;
    ExpectMatched = 0;
    if (++Fields > Limits.MaxHeaderFields)
      return violate(ResultCode::RequestHeadTooLarge);
  }
  // The name may come in several parts.
  if (ExpectMatched != Mismatch) {
    const std::string_view Wanted =
        ExpectName.substr(ExpectMatched).substr(0, Part.size());
    ExpectMatched =
        sameFieldName(Part, Wanted) ? ExpectMatched + Part.size() : Mismatch;
  }
  return onHead(Part.size());
}

int RequestGuard::onFieldValue(std::string_view Part) {
  InName = false;
  // `100-continue` is the only expectation that HTTP defines.
  Expected = Expected || ExpectMatched == ExpectName.size();
  return onHead(Part.size());
}

int RequestGuard::onHeadComplete() {
  const bool LengthGiven =
      Parser.content_length != std::numeric_limits<std::uint64_t>::max();
  if (LengthGiven && Parser.content_length > Limits.MaxBodyBytes)
    return violate(ResultCode::RequestBodyTooLarge);
  if (Parser.method == HTTP_CONNECT)
    return violate(ResultCode::MethodUnknown);
  ContinueWanted = Expected;
  if (LengthGiven)
    BodyNeeded = static_cast<std::size_t>(Parser.content_length);
  else if ((Parser.flags & F_CHUNKED) != 0)
    BodyNeeded = Limits.MaxBodyBytes;
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
