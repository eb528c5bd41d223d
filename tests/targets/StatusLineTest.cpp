#include "targets/StatusLine.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(StatusLine){};

TEST(StatusLine, ReadsTheStatusFromItsDigits) {
  LONGS_EQUAL(200, *parseStatusLine("HTTP/1.1 200 OK"));
  LONGS_EQUAL(500, *parseStatusLine("HTTP/1.0 500 Internal Server Error"));
  LONGS_EQUAL(100, *parseStatusLine("HTTP/1.1 100 "));
  LONGS_EQUAL(599, *parseStatusLine("HTTP/1.1 599"));
  LONGS_EQUAL(404, *parseStatusLine("HTTP/1.1 404 Not\tFound \xc3\xa4 /1.1"));
}

TEST(StatusLine, RejectsMalformedLines) {
  for (const char *Line : {"",
                           "HTTP/1.1",
                           "HTTP/1.1 ",
                           "HTTP/1.1 20",
                           "HTTP/1.1 2000",
                           "HTTP/1.1 2xx",
                           "HTTP/1.1 200OK",
                           "HTTP/1.1  200 OK",
                           "HTTP/1.1\t200",
                           "HTTP/1.1 +20 OK",
                           "HTTP/1.1 -20 OK",
                           "HTTP/x 500 Odd",
                           "HTTP/2 500",
                           "HTTP/1.2 200 OK",
                           "HTTP/1.x 200 OK",
                           "HTTP/11 200 OK",
                           "http/1.1 200",
                           " HTTP/1.1 200 OK",
                           "HTTP/1.1 200 O\rK",
                           "HTTP/1.1 200 \x01"})
    CHECK_FALSE_TEXT(parseStatusLine(Line).has_value(), Line);
}

TEST(StatusLine, RejectsStatusesThatDoNotExist) {
  for (const char *Status : {"000", "001", "099", "600", "999"})
    CHECK_FALSE_TEXT(
        parseStatusLine("HTTP/1.1 " + std::string(Status) + " Odd").has_value(),
        Status);
}

TEST(StatusLine, RejectsALineInWhichAnotherOneBegins) {
  CHECK_FALSE(parseStatusLine("HTTP/1.1 200 OHTTP/1.1 500 Failed").has_value());
  CHECK_FALSE(parseStatusLine("HTTP/1.1 200 HTTP/1.1 500").has_value());
}

TEST(StatusLine, FindsAStatusLineWithinAText) {
  CHECK(containsStatusLine("aHTTP/1.1 500 Failed"));
  CHECK(containsStatusLine("HTTP/1.HTTP/1.0 500"));
  CHECK_FALSE(containsStatusLine("HTTP/1.1"));
  CHECK_FALSE(containsStatusLine("1.1 proxy, HTTP/1.1 5000"));
}

TEST(StatusLine, ReadsEachStatusThatExists) {
  for (int Status = 100; Status < 600; ++Status)
    LONGS_EQUAL(Status,
                *parseStatusLine("HTTP/1.1 " + std::to_string(Status) + " x"));
}
