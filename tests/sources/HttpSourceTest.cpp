#include "sources/PlatformReader.h"
#include "sources/PlatformSource.h"

#include "standins/Http.h"
#include "support/ChildProcess.h"
#include "support/TemporaryFolder.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <string>
#include <thread>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs LongestWait{20000};
constexpr const char *PlatformProgram = BINARY_DIR "/standins/Platform";

} // namespace

TEST_GROUP(HttpSource) {
  TemporaryFolder Folder;
  ChildProcess Process{{PlatformProgram, "--listen", "127.10.1.1:0", "--folder",
                        Folder.path(), "--instances",
                        Folder.file("instances.json")}};
  Endpoint Server;
  PlatformSource Source;

  void setup() override {
    const std::string Listening = "listening ";
    STRCMP_CONTAINS(Listening.c_str(), Process.firstLine().c_str());
    Server = *Endpoint::parse(Process.firstLine().substr(Listening.size()));
    Source = httpSource(Server, DurationMs(500));
    Folder.write("10-a.ini", "[service a]\n");
  }

  std::string get(const std::string &Path) {
    std::string Failure;
    try {
      return standins::control(Server.text(), Path);
    } catch (const std::exception &Error) {
      Failure = Error.what();
    }
    FAIL(Failure.c_str());
    return {};
  }

  void control(const std::string &Query) { get("/control?" + Query); }

  /// Waits for the next version after \p KnownVersion and returns it.
  IntentBundle readNext(const Version &KnownVersion) {
    PlatformRead<IntentBundle> Read =
        Source.ReadIntent(KnownVersion, LongestWait);
    STRCMP_EQUAL("", Read.Detail.c_str());
    CHECK(Read.Value.has_value());
    return *Read.Value;
  }

  ResultCode readReason() {
    return Source.ReadIntent(Version(), DurationMs(0)).Reason;
  }
};

TEST(HttpSource, ReturnsEachNewVersionFromAWatch) {
  const IntentBundle First = readNext(Version());
  std::future<IntentBundle> Watch =
      std::async(std::launch::async, [&] { return readNext(First.version()); });

  Folder.write("20-b.ini", "[service b]\n");
  const IntentBundle Second = Watch.get();

  LONGS_EQUAL(1, First.Files.size());
  LONGS_EQUAL(2, Second.Files.size());
  CHECK(Second.Revision > First.Revision);
}

TEST(HttpSource, ReportsARemovedFileAsANewVersion) {
  Folder.write("20-b.ini", "[service b]\n");
  const IntentBundle First = readNext(Version());

  std::filesystem::remove(Folder.file("20-b.ini"));
  const IntentBundle Second = readNext(First.version());

  LONGS_EQUAL(1, Second.Files.size());
}

TEST(HttpSource, ReturnsNoValueWhenNothingIsNewer) {
  const IntentBundle First = readNext(Version());

  const auto Read = Source.ReadIntent(First.version(), DurationMs(50));

  CHECK_FALSE(Read.Value.has_value());
  CHECK(ResultCode::Ok == Read.Reason);
}

TEST(HttpSource, ReturnsDifferentContentUnderTheSameRevision) {
  const IntentBundle First = readNext(Version());

  control("twin=1");
  const IntentBundle Second = readNext(First.version());

  CHECK(First.Revision == Second.Revision);
  CHECK_FALSE(
      Source.ReadIntent(Second.version(), DurationMs(0)).Value.has_value());
}

TEST(HttpSource, ReportsADistinctReasonForEachPlatformFault) {
  readNext(Version());
  const std::pair<const char *, ResultCode> Faults[] = {
      {"out", ResultCode::PlatformUnreachable},
      {"silent", ResultCode::PlatformUnreachable},
      {"torn", ResultCode::PlatformTorn},
      {"refusing", ResultCode::PlatformRefused},
      {"garbled", ResultCode::PlatformMalformed}};
  for (const auto &[Name, Expected] : Faults) {
    control(std::string(Name) + "=1");
    const ResultCode During = readReason();
    control(std::string(Name) + "=0");

    CHECK_TRUE_TEXT(Expected == During, Name);
    CHECK_TRUE_TEXT(ResultCode::Ok == readReason(), Name);
  }
}

// On a reused connection curl would retry the request by itself.
TEST(HttpSource, SendsEachReadOnceWhenThePlatformClosesTheConnection) {
  readNext(Version());
  get("/stats?reset=1");
  control("out=1");

  readReason();
  readReason();

  STRCMP_CONTAINS("\"total\":2", get("/stats").c_str());
}

TEST(HttpSource, WaitsForASlowPlatformUpToTheTimeout) {
  readNext(Version());

  control("slow_ms=50");
  CHECK(ResultCode::Ok == readReason());

  control("slow_ms=60000");
  CHECK(ResultCode::PlatformUnreachable == readReason());
}

TEST(HttpSource, ReturnsTheOldRevisionOfAStalePlatform) {
  const IntentBundle First = readNext(Version());
  Folder.write("20-b.ini", "[service b]\n");
  const IntentBundle Second = readNext(First.version());

  control("stale=" + std::to_string(First.Revision));

  CHECK(First.Revision == readNext(Version()).Revision);
  CHECK_FALSE(
      Source.ReadIntent(Second.version(), DurationMs(0)).Value.has_value());
}

TEST(HttpSource, ReadsTheListOfInstances) {
  Folder.write("instances.json",
               R"({"instances": [{"name": "a-1", "domain": "recife",
                   "service": "a", "slot": 3, "state": "leaving",
                   "peer_address": "127.10.0.1:7000"}]})");
  const Clock Time = Clock::monotonic();
  const TimeMs Deadline = Time.now() + LongestWait;
  PlatformRead<InstanceList> Read;
  while (!Read.Value && Time.now() < Deadline)
    Read = Source.ReadInstances(0);

  LONGS_EQUAL(1, Read.Value->Instances.size());
  CHECK(ListedState::Leaving == Read.Value->Instances[0].State);
  CHECK_FALSE(Source.ReadInstances(Read.Value->Revision).Value.has_value());
}

TEST(HttpSource, ReportsAClosedPortAsUnreachable) {
  Source = httpSource(*Endpoint::parse("127.10.1.2:1"), DurationMs(500));

  CHECK(ResultCode::PlatformUnreachable == readReason());
}

TEST(HttpSource, ReturnsEarlyWhenCancelled) {
  const IntentBundle First = readNext(Version());
  std::future<PlatformRead<IntentBundle>> Watch =
      std::async(std::launch::async, [&] {
        return Source.ReadIntent(First.version(), DurationMs(3600000));
      });

  Source.Cancel();

  CHECK(std::future_status::ready ==
        Watch.wait_for(std::chrono::milliseconds(LongestWait.Value)));
  CHECK(ResultCode::Stopped == Watch.get().Reason);
}

// Runs the complete reader thread against the stand-in for the platform.
TEST(HttpSource, SuppliesAReaderThatIsStoppedDuringAWatch) {
  PlatformSettings Settings;
  Settings.FleetReadsPerSecond = 100;
  Settings.FleetNodes = 1;
  Settings.WatchWait = LongestWait;
  std::promise<IntentBundle> BundlePromise;
  PlatformReaderHooks Hooks;
  Hooks.OnBundle = [&](IntentBundle B) {
    BundlePromise.set_value(std::move(B));
  };
  PlatformReader Reader(Source, Settings, std::move(Hooks), 1);

  Reader.start();
  const auto Done = BundlePromise.get_future().wait_for(
      std::chrono::milliseconds(LongestWait.Value));
  Reader.stop();

  CHECK(std::future_status::ready == Done);
}
