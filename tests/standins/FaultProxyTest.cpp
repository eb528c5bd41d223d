#include "standins/FaultProxy.h"

#include <string>

#include <CppUTest/TestHarness.h>

using standins::FaultProxy;

namespace {

/// Commands that no proxy can carry out.
constexpr const char *UnknownCommands[] = {
    "/control/partion?from=127.0.0.1",
    "/control/set?cut_from=127.0.0.1",
    "/control/set?delay_ms=5&cut_from=127.0.0.1",
    "/control/set?refuse=yes",
    "/control/set?refuse=",
    "/control/set?delay_ms=-1",
    "/control/set",
    "/control/silence?direction=left",
    "/control/silence?way=up",
    "/control/partition?from=market",
    "/control/partition?to=127.0.0.1",
    "/control/partition",
    "/control/cut?now=1",
};

} // namespace

TEST_GROUP(FaultProxy) {
  asio::io_context Context;
  FaultProxy Proxy{Context, standins::endpointOf("127.0.0.1:0"),
                   standins::endpointOf("127.0.0.1:1")};

  bool isRefused(const std::string &Command) {
    try {
      Proxy.control(Command);
    } catch (const std::invalid_argument &) {
      return true;
    }
    return false;
  }
};

// A mistyped fault that is ignored lets a test pass without the fault.
TEST(FaultProxy, RefusesACommandThatItDoesNotKnow) {
  for (const char *Command : UnknownCommands)
    CHECK_TRUE_TEXT(isRefused(Command), Command);
}
