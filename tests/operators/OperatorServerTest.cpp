#include "operators/OperatorServer.h"

#include "operators/HttpGet.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const Endpoint Address{"127.60.0.1", 7300};
constexpr DurationMs Timeout{10'000};

} // namespace

TEST_GROUP(OperatorServer) {
  std::string Error;
  OperatorServer Server{Address,
                        {{"/echo", [](const PageQuery &Query) {
                            const auto It = Query.find("word");
                            if (It == Query.end())
                              throw std::runtime_error("word is missing");
                            return Page{200, "text/plain", It->second};
                          }}}};
};

TEST(OperatorServer, PassesTheDecodedQueryToThePage) {
  CHECK(Server.start());

  const auto Body = httpGet(Address.text(), "/echo?word=" + urlEncoded("a b&c"),
                            Timeout, Error);

  CHECK_TRUE_TEXT(Body.has_value(), Error.c_str());
  STRCMP_EQUAL("a b&c", Body->c_str());
}

TEST(OperatorServer, KeepsServingAfterErrors) {
  CHECK(Server.start());

  CHECK_FALSE(httpGet(Address.text(), "/none", Timeout, Error).has_value());
  CHECK(Error.find("404") != std::string::npos);
  CHECK_FALSE(httpGet(Address.text(), "/echo", Timeout, Error).has_value());
  CHECK(Error.find("word is missing") != std::string::npos);
  CHECK(httpGet(Address.text(), "/echo?word=x", Timeout, Error).has_value());
}

TEST(OperatorServer, ReportsABusyAddress) {
  CHECK(Server.start());
  OperatorServer Second(Address, {});

  CHECK_FALSE(Second.start());

  CHECK(ResultCode::OperatorAddressBusy == Second.lastReason());
}
