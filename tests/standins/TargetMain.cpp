#include "standins/Target.h"

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(listen, "127.0.0.1:0", "IP:port to serve requests on");
DEFINE_string(control, "127.0.0.1:0", "IP:port of the control port");
DEFINE_int32(slots, 6, "concurrent requests that the warm target supports");
DEFINE_int32(cold_ms, 0, "warm-up time after a start");
DEFINE_int32(cold_slots, 2,
             "concurrent requests supported right after a start");
DEFINE_int32(latency_ms, 2, "service time of a request");
DEFINE_int32(restart_ms, 300, "time for which a crash closes the port");
DEFINE_bool(spread, false, "half of the latency is fixed, half is random");
DEFINE_int32(fall_over_percent, 0,
             "load, in percent of the capacity while cold, beyond which the "
             "target crashes; 0 for never");
DEFINE_string(id, "", "name of this target in requests");
DEFINE_string(id_field, "",
              "lower-case name of the field that identifies a "
              "request; makes the target sign its responses");
DEFINE_string(signature_field, "", "name of the field that holds a signature");
DEFINE_string(meant_field, "",
              "lower-case name of the field that names the "
              "intended target");
DEFINE_string(
    not_run_field, "",
    "name of the field that marks a response to a misdirected request");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  asio::io_context Context;
  standins::TargetOptions Options;
  Options.Listen = standins::endpointOf(FLAGS_listen);
  Options.Slots = FLAGS_slots;
  Options.ColdMs = FLAGS_cold_ms;
  Options.ColdSlots = FLAGS_cold_slots;
  Options.LatencyMs = FLAGS_latency_ms;
  Options.RestartMs = FLAGS_restart_ms;
  Options.Spread = FLAGS_spread;
  Options.OverloadCrashPercent = FLAGS_fall_over_percent;
  Options.Fields = {FLAGS_id_field, FLAGS_signature_field, FLAGS_meant_field,
                    FLAGS_not_run_field};
  Options.Id = FLAGS_id;
  standins::Target Server(Context, Options);
  standins::Tcp::acceptor Control(Context, standins::endpointOf(FLAGS_control));
  asio::co_spawn(Context,
                 standins::serveControl(Control,
                                        [&](const std::string &Command) {
                                          return Server.control(Command);
                                        }),
                 asio::detached);
  std::printf("listening %d %d\n", Server.port(),
              Control.local_endpoint().port());
  std::fflush(stdout);
  Context.run();
}
