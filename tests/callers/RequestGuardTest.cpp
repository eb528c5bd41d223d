#include "callers/RequestGuard.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr RequestLimits Limits{2000, 20, 5000};

/// A `POST` request with the given fields and body.
std::string post(const std::string &Fields, const std::string &Body) {
  return "POST /p HTTP/1.1\r\nHost: mesh\r\n" + Fields + "\r\n" + Body;
}

std::string get(const std::string &Fields) {
  return "GET /g HTTP/1.1\r\nHost: mesh\r\n" + Fields + "\r\n";
}

std::string chunked(const std::string &Chunks) {
  return post("Transfer-Encoding: chunked\r\n", Chunks);
}

/// Result of validating \p Text in pieces of \p PieceSize bytes.
ResultCode validationResult(const std::string &Text, std::size_t PieceSize) {
  RequestGuard Guard(Limits);
  for (std::size_t Offset = 0; Offset < Text.size(); Offset += PieceSize) {
    const ResultCode Reason = Guard.consume(Text.substr(Offset, PieceSize));
    if (Reason != ResultCode::Ok)
      return Reason;
  }
  return Guard.isInRequest() ? ResultCode::RequestBodyTooLarge : ResultCode::Ok;
}

} // namespace

TEST_GROUP(RequestGuard){};

// Guards against request smuggling: input that two parsers of RFC 9112 could
// interpret differently is refused.
TEST(RequestGuard, RefusesAmbiguousRequests) {
  const std::string Cases[] = {
      // Whitespace (sections 2.2, 3 and 5.1).
      post("Transfer-Encoding : chunked\r\n", "0\r\n\r\n"),
      post("Content-Length : 2\r\n", "ab"),
      post("Transfer Encoding: chunked\r\n", "0\r\n\r\n"),
      "GET  /g HTTP/1.1\r\nHost: mesh\r\n\r\n",
      "GET /g  HTTP/1.1\r\nHost: mesh\r\n\r\n",
      "GET\t/g\tHTTP/1.1\r\nHost: mesh\r\n\r\n",
      "GET /g HTTP/1.1 \r\nHost: mesh\r\n\r\n",
      "GET /g HTTP/1.1\r\n Host: mesh\r\n\r\n",
      " GET /g HTTP/1.1\r\nHost: mesh\r\n\r\n",
      // Folded lines (section 5.2).
      get("X: a\r\n b\r\n"),
      get("X: a\r\n\tb\r\n"),
      post("Transfer-Encoding:\r\n chunked\r\n", "0\r\n\r\n"),
      // Bare carriage return or line feed (section 2.2).
      "GET /g HTTP/1.1\nHost: mesh\r\n\r\n",
      "GET /g HTTP/1.1\r\nHost: mesh\n\r\n",
      "GET /g HTTP/1.1\r\nHost: mesh\r\n\n",
      get("X: a\rb\r\n"),
      get("X: a\r\rY: b\r\n"),
      get(std::string("X: a\0b\r\n", 8)),
      // Empty field name or missing colon.
      get(": a\r\n"),
      get("X\r\n"),
      // Repeated or malformed lengths (section 6.3).
      post("Content-Length: 2\r\nContent-Length: 3\r\n", "abc"),
      post("Content-Length: 2\r\nContent-Length: 2\r\n", "ab"),
      post("Content-Length: 2, 2\r\n", "ab"),
      post("Content-Length: +2\r\n", "ab"),
      post("Content-Length: -2\r\n", "ab"),
      post("Content-Length: 0x2\r\n", "ab"),
      post("Content-Length: 2 2\r\n", "ab"),
      post("Content-Length:\r\n", ""),
      post("Content-Length: 99999999999999999999999\r\n", "ab"),
      // Transfer coding combined with a length, or other than a single
      // `chunked` (section 6.1).
      post("Content-Length: 2\r\nTransfer-Encoding: chunked\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: chunked\r\nContent-Length: 2\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: chunked, gzip\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: chunked, chunked\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
           "0\r\n\r\n"),
      post("Transfer-Encoding: identity\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: xchunked\r\n", "0\r\n\r\n"),
      post("Transfer-Encoding: \"chunked\"\r\n", "0\r\n\r\n"),
      "POST /p HTTP/1.0\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
      // Chunk sizes and chunk endings (section 7.1).
      chunked("0x2\r\nab\r\n0\r\n\r\n"),
      chunked("+2\r\nab\r\n0\r\n\r\n"),
      chunked("-2\r\nab\r\n0\r\n\r\n"),
      chunked(" 2\r\nab\r\n0\r\n\r\n"),
      chunked("2 \r\nab\r\n0\r\n\r\n"),
      chunked("2\nab\r\n0\r\n\r\n"),
      chunked("2\rab\r\n0\r\n\r\n"),
      chunked("2\r\nabX\r\n0\r\n\r\n"),
      chunked("2\r\nab\n0\r\n\r\n"),
      chunked("2\r\nab\rX0\r\n\r\n"),
      chunked("\r\n\r\n"),
      chunked(";a=b\r\n\r\n"),
      chunked("2;a\nb\r\nab\r\n0\r\n\r\n"),
      chunked("ffffffffffffffffff\r\nab\r\n0\r\n\r\n"),
      chunked("10000000000000002\r\nab\r\n0\r\n\r\n"),
      // Trailer fields follow the rules of other fields (section 7.1.2).
      chunked("0\r\nX : a\r\n\r\n"),
      chunked("0\r\n X: a\r\n\r\n"),
      chunked("0\r\nX: a\n\r\n"),
      // Missing or repeated `Host` (section 3.2).
      "GET /g HTTP/1.1\r\n\r\n",
      "GET /g HTTP/1.1\r\nHost: mesh\r\nHost: mesh\r\n\r\n",
      "GET /g HTTP/1.1\r\nHost: mesh\r\nhost: other\r\n\r\n",
  };
  for (const std::string &Text : Cases) {
    for (const std::size_t PieceSize : {std::size_t(1), Text.size()})
      CHECK_EQUAL_TEXT(static_cast<int>(ResultCode::RequestMalformed),
                       static_cast<int>(validationResult(Text, PieceSize)),
                       Text.c_str());
  }
}

TEST(RequestGuard, AcceptsValidRequests) {
  const std::string Cases[] = {
      get(""),
      get("X:a\r\nY:\r\nZ: \t b \t\r\n"),
      get("X: caf\xc3\xa9\r\n!#$%&'*+-.^_`|~9: a\r\n"),
      "\r\n\r\nGET /g HTTP/1.1\r\nHost: mesh\r\n\r\n",
      "GET /g HTTP/1.0\r\n\r\n",
      "OPTIONS * HTTP/1.1\r\nHost:\r\n\r\n",
      post("Content-Length: 2\r\n", "ab"),
      post("Content-Length: 0\r\n", ""),
      post("Content-Length: 4\r\n", "\r\n\r\n"),
      chunked("0\r\n\r\n"),
      chunked("2\r\nab\r\n0A\r\n0123456789\r\n00\r\n\r\n"),
      chunked("2;name=\"value\"\r\nab\r\n0;end\r\n\r\n"),
      chunked("2 ;name\r\nab\r\n0\r\n\r\n"),
      chunked("2\r\n\r\n\r\n0\r\nX: a\r\nY: b\r\n\r\n"),
      post("Transfer-Encoding: Chunked\r\n", "0\r\n\r\n"),
      get("") + get("") + post("Content-Length: 2\r\n", "ab") + get(""),
      chunked("0\r\n\r\n") + get("Connection: upgrade\r\nUpgrade: x\r\n") +
          get(""),
  };
  for (const std::string &Text : Cases) {
    for (const std::size_t PieceSize : {std::size_t(1), Text.size()})
      CHECK_EQUAL_TEXT(static_cast<int>(ResultCode::Ok),
                       static_cast<int>(validationResult(Text, PieceSize)),
                       Text.c_str());
  }
}

// Complete requests before an invalid one are still served.
TEST(RequestGuard, CountsBytesOfCompleteRequests) {
  RequestGuard Guard(Limits);
  const std::string ValidRequests =
      get("") + post("Content-Length: 2\r\n", "ab");

  const ResultCode Reason = Guard.consume(ValidRequests + get("X : a\r\n"));

  CHECK(ResultCode::RequestMalformed == Reason);
  LONGS_EQUAL(ValidRequests.size(), Guard.completeRequestBytes());
}

// The segmentation of the input by the network must not affect the result.
TEST(RequestGuard, ResultDoesNotDependOnInputSegmentation) {
  checkProperty("any bytes in any pieces", [] {
    const std::string Pieces[] = {"GET /g HTTP/1.1\r\n",
                                  "Host: mesh\r\n",
                                  "Content-Length: 3\r\n",
                                  "Transfer-Encoding: chunked\r\n",
                                  "X: a",
                                  "\r\n",
                                  "\n",
                                  " ",
                                  "3",
                                  "abc",
                                  "0\r\n\r\n",
                                  ":"};
    std::string Text;
    const auto Count = *rc::gen::inRange(1, 12);
    for (int I = 0; I < Count; ++I)
      Text += Pieces[*rc::gen::inRange<std::size_t>(0, std::size(Pieces))];
    const auto PieceSize = *rc::gen::inRange<std::size_t>(1, Text.size() + 1);
    RC_ASSERT(validationResult(Text, PieceSize) ==
              validationResult(Text, Text.size()));
  });
}
