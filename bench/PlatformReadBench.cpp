/// \file
/// Benchmark of the read rate at the platform.
///
/// Counts the reads per second at the platform stand-in while a whole fleet
/// starts at once, loses the platform, recovers it and restarts repeatedly.
/// Each node runs the product's PlatformReader on its own connection. Prints
/// Markdown.

#include "sources/PlatformReader.h"

#include "standins/Http.h"
#include "support/ChildProcess.h"
#include "support/TemporaryFolder.h"

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include <curl/curl.h>
#include <fmt/format.h>
#include <gflags/gflags.h>
#include <nlohmann/json.hpp>

DEFINE_int32(readers, 100, "number of nodes, all of which read the platform");
DEFINE_int32(allowance, 150, "reads per second that the fleet may send");
DEFINE_int32(phase_ms, 6000, "duration of each phase");

using namespace fescuewood;

namespace {

constexpr int HerdRestarts = 5;

void sleepFor(int Ms) {
  std::this_thread::sleep_for(std::chrono::milliseconds(Ms));
}

/// The platform stand-in as a child process, serving one small intent.
class PlatformStandIn {
public:
  explicit PlatformStandIn(const std::filesystem::path &ProgramPath)
      : Process({(ProgramPath.parent_path().parent_path() / "standins/Platform")
                     .string(),
                 "--listen", "127.0.0.1:0", "--folder", Folder.path(),
                 "--instances", Folder.file("instances.json")}) {
    Folder.write("10-a.ini", "[service a]\n");
    Folder.write("instances.json", "{\"instances\": []}\n");
    const std::string &Line = Process.firstLine();
    const auto Parsed = Endpoint::parse(Line.substr(Line.find(' ') + 1));
    if (!Parsed) {
      std::fprintf(stderr, "the platform stand-in did not start\n");
      std::exit(EXIT_FAILURE);
    }
    Server = *Parsed;
  }

  const Endpoint &server() const { return Server; }

  nlohmann::json get(const std::string &Path) const {
    return nlohmann::json::parse(standins::control(Server.text(), Path));
  }

private:
  TemporaryFolder Folder;
  ChildProcess Process;
  Endpoint Server;
};

/// The readers of all nodes. Destruction stops them.
class Fleet {
public:
  Fleet(const Endpoint &Server, bool Limited) {
    PlatformSettings Settings;
    Settings.FleetReadsPerSecond =
        static_cast<std::uint32_t>(Limited ? FLAGS_allowance : 1000000);
    Settings.FleetNodes = static_cast<std::uint32_t>(FLAGS_readers);
    Settings.WatchWait = DurationMs(3000);
    for (int I = 0; I < FLAGS_readers; ++I)
      Readers.push_back(std::make_unique<PlatformReader>(
          httpSource(Server, DurationMs(2000)), Settings, PlatformReaderHooks{},
          static_cast<std::uint64_t>(I)));
    for (const auto &Reader : Readers)
      Reader->start();
  }

private:
  std::vector<std::unique_ptr<PlatformReader>> Readers;
};

void printRow(const PlatformStandIn &Platform, const char *Limit,
              const char *Phase, const std::string &Bound) {
  const nlohmann::json Stats = Platform.get("/stats?reset=1");
  fmt::print("| {} | {} | {} | {} | {} |\n", Phase, Limit,
             Stats["total"].get<int>(), Stats["peak_per_second"].get<int>(),
             Bound);
}

void measure(const PlatformStandIn &Platform, bool Limited) {
  const char *Limit = Limited ? "allowance" : "backoff only";
  const std::string Bound = Limited ? std::to_string(FLAGS_allowance) : "none";
  auto Readers = std::make_unique<Fleet>(Platform.server(), Limited);
  sleepFor(FLAGS_phase_ms);
  printRow(Platform, Limit, "all start at once", Bound);
  Platform.get("/control?out=1");
  sleepFor(FLAGS_phase_ms);
  printRow(Platform, Limit, "platform out", Bound);
  Platform.get("/control?out=0");
  sleepFor(FLAGS_phase_ms);
  printRow(Platform, Limit, "platform back", Bound);
  for (int I = 0; I < HerdRestarts; ++I) {
    Readers.reset();
    Readers = std::make_unique<Fleet>(Platform.server(), Limited);
    sleepFor(FLAGS_phase_ms / HerdRestarts);
  }
  printRow(Platform, Limit, "all restart, five times", Bound);
}

} // namespace

int main(int Argc, char **Argv) {
  gflags::ParseCommandLineFlags(&Argc, &Argv, true);
  curl_global_init(CURL_GLOBAL_DEFAULT);
  const PlatformStandIn Platform(std::filesystem::canonical("/proc/self/exe"));
  fmt::print("{} readers.\n\n| Phase | Limited by | Reads | Most in a second | "
             "Allowed |\n|---|---|---|---|---|\n",
             FLAGS_readers);
  measure(Platform, true);
  measure(Platform, false);
  return 0;
}
