#include "standins/FaultProxy.h"

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to accept connections on");
DEFINE_string(to, "", "IP:port of the server to forward connections to");
DEFINE_string(control, "127.0.0.1:0", "IP:port of the control port");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Context;
  standins::FaultProxy Proxy(Context, standins::endpointOf(FLAGS_listen),
                             standins::endpointOf(FLAGS_to));
  standins::Tcp::acceptor Control(Context, standins::endpointOf(FLAGS_control));
  asio::co_spawn(Context,
                 standins::serveControl(Control,
                                        [&](const std::string &Command) {
                                          return Proxy.control(Command);
                                        }),
                 asio::detached);
  std::printf("listening %d %d\n", Proxy.port(),
              Control.local_endpoint().port());
  std::fflush(stdout);
  Context.run();
}
