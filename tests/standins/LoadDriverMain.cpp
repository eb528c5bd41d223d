#include "standins/LoadReport.h"

#include <cstdio>

#include <gflags/gflags.h>

DEFINE_string(nodes, "", "IP:port of each entry node, comma-separated");
DEFINE_string(organisation, "someone", "organisation name in the report");
DEFINE_string(key, "", "API key of the organisation");
DEFINE_string(method, "GET", "method of the requests");
DEFINE_string(path, "/", "path of the requests");
DEFINE_double(rate, 50, "requests per second");
DEFINE_double(seconds, 5, "duration of the run");
DEFINE_int32(in_time_ms, 500, "latency up to which a response is in time");
DEFINE_int32(seed, 1, "seed of the arrival process");

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  standins::LoadOptions Options;
  std::istringstream Nodes(FLAGS_nodes);
  for (std::string Node; std::getline(Nodes, Node, ',');)
    Options.Nodes.push_back(Node);
  if (Options.Nodes.empty()) {
    std::fputs("LoadDriver: --nodes is required\n", stderr);
    return 2;
  }
  standins::LoadStream Stream;
  Stream.Organisation = FLAGS_organisation;
  Stream.Key = FLAGS_key;
  Stream.Method = FLAGS_method;
  Stream.Path = FLAGS_path;
  Stream.PerSecond = FLAGS_rate;
  Stream.InTimeMs = FLAGS_in_time_ms;
  Options.Streams = {Stream};
  Options.Seconds = FLAGS_seconds;
  Options.Seed = static_cast<unsigned>(FLAGS_seed);
  standins::LoadDriver Driver(Options);
  const auto Samples = Driver.run();
  // The targets' run records are not available here, so every request with
  // status 200 counts as run once.
  standins::RunRecord Runs;
  for (const standins::LoadSample &Sample : Samples)
    if (Sample.Status == 200)
      Runs[Sample.Mark] = 1;
  const auto Sum = standins::summarise(Options.Streams, Samples, Runs);
  std::fputs(standins::markdownHeader(), stdout);
  std::fputs(standins::markdownRow(FLAGS_path, Sum).c_str(), stdout);
  for (const auto &[Code, Count] : Sum.Codes)
    std::printf("code %d: %zu\n", Code, Count);
  return Sum.Foreign == 0 ? 0 : 1;
}
