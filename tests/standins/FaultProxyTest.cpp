#include "standins/FaultProxy.h"

#include <string>
#include <thread>

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

TEST(FaultProxy, ChangesNothingOnARefusedCommand) {
  CHECK(isRefused("/control/set?lose_answers=2&cut_from=127.0.0.1"));

  const auto Counts = nlohmann::json::parse(Proxy.control("/control/counts"));
  LONGS_EQUAL(0, Counts["lose_answers"].get<int>());
}

TEST(FaultProxy, AcceptsTheCommandsThatItKnows) {
  for (const char *Command :
       {"/control/counts", "/control/cut", "/control/silence",
        "/control/silence?direction=down", "/control/partition?from=",
        "/control/partition?from=127.0.0.1,127.0.0.2,",
        "/control/set?silent=0&delay_ms=5"})
    CHECK_FALSE_TEXT(isRefused(Command), Command);
}

TEST(FaultProxy, ReportsARefusedCommandToItsSender) {
  standins::Tcp::acceptor Control(Context, standins::endpointOf("127.0.0.1:0"));
  asio::co_spawn(Context,
                 standins::serveControl(Control,
                                        [&](const std::string &Command) {
                                          return Proxy.control(Command);
                                        }),
                 asio::detached);
  std::thread Serving([&] { Context.run(); });
  const std::string Address =
      "127.0.0.1:" + std::to_string(Control.local_endpoint().port());
  std::string Reason;

  try {
    standins::control(Address, "/control/set?cut_from=127.0.0.1");
  } catch (const std::runtime_error &Error) {
    Reason = Error.what();
  }

  Context.stop();
  Serving.join();
  STRCMP_CONTAINS("400", Reason.c_str());
  STRCMP_CONTAINS("unknown parameter cut_from", Reason.c_str());
}
