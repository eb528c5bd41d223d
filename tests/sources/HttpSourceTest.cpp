#include "sources/PlatformReader.h"
#include "sources/PlatformSource.h"

#include "support/ChildProcess.h"
#include "support/TemporaryFolder.h"

#include <chrono>
#include <filesystem>
#include <fstream>
#include <future>
#include <string>
#include <thread>

#include <curl/curl.h>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs LongestWait{20000};
constexpr const char *PlatformProgram = BINARY_DIR "/standins/Platform";

std::size_t appendBody(char *Data, std::size_t Size, std::size_t Count,
                       void *Into) {
  static_cast<std::string *>(Into)->append(Data, Size * Count);
  return Size * Count;
}

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
    std::string Body;
    const std::string Url = "http://" + Server.text() + Path;
    CURL *Curl = curl_easy_init();
    curl_easy_setopt(Curl, CURLOPT_URL, Url.c_str());
    curl_easy_setopt(Curl, CURLOPT_WRITEFUNCTION, &appendBody);
    curl_easy_setopt(Curl, CURLOPT_WRITEDATA, &Body);
    LONGS_EQUAL(CURLE_OK, curl_easy_perform(Curl));
    curl_easy_cleanup(Curl);
    return Body;
  }

  void control(const std::string &Query) { get("/control?" + Query); }

  /// The next version after \p Known, waited for.
  IntentBundle next(const Version &Known) {
    PlatformRead<IntentBundle> Read = Source.ReadIntent(Known, LongestWait);
    STRCMP_EQUAL("", Read.Detail.c_str());
    CHECK(Read.Value.has_value());
    return *Read.Value;
  }

  ResultCode reason() {
    return Source.ReadIntent(Version(), DurationMs(0)).Reason;
  }
};

TEST(HttpSource, WatchesForEachNewVersion) {
  const IntentBundle First = next(Version());
  std::future<IntentBundle> Watch =
      std::async(std::launch::async, [&] { return next(First.version()); });

  Folder.write("20-b.ini", "[service b]\n");
  const IntentBundle Second = Watch.get();

  LONGS_EQUAL(1, First.Files.size());
  LONGS_EQUAL(2, Second.Files.size());
  CHECK(Second.Revision > First.Revision);
}

TEST(HttpSource, ShowsARemovedFileAsANewVersion) {
  Folder.write("20-b.ini", "[service b]\n");
  const IntentBundle First = next(Version());

  std::filesystem::remove(Folder.file("20-b.ini"));
  const IntentBundle Second = next(First.version());

  LONGS_EQUAL(1, Second.Files.size());
}

TEST(HttpSource, GivesNothingWhenNothingIsNewer) {
  const IntentBundle First = next(Version());

  const auto Read = Source.ReadIntent(First.version(), DurationMs(50));

  CHECK_FALSE(Read.Value.has_value());
  CHECK(ResultCode::Ok == Read.Reason);
}

TEST(HttpSource, ShowsAnotherContentUnderTheSameRevision) {
  const IntentBundle First = next(Version());

  control("twin=1");
  const IntentBundle Second = next(First.version());

  CHECK(First.Revision == Second.Revision);
  CHECK_FALSE(
      Source.ReadIntent(Second.version(), DurationMs(0)).Value.has_value());
}

TEST(HttpSource, TellsEveryFaultOfThePlatformApart) {
  next(Version());
  const std::pair<const char *, ResultCode> Faults[] = {
      {"out", ResultCode::PlatformUnreachable},
      {"silent", ResultCode::PlatformUnreachable},
      {"torn", ResultCode::PlatformTorn},
      {"refusing", ResultCode::PlatformRefused},
      {"garbled", ResultCode::PlatformMalformed}};
  for (const auto &[Name, Expected] : Faults) {
    control(std::string(Name) + "=1");
    const ResultCode During = reason();
    control(std::string(Name) + "=0");

    CHECK_TRUE_TEXT(Expected == During, Name);
    CHECK_TRUE_TEXT(ResultCode::Ok == reason(), Name);
  }
}

// curl repeats a request by itself on a connection that was used before.
TEST(HttpSource, SendsEachReadOnceAlsoWhenThePlatformHangsUp) {
  next(Version());
  get("/stats?reset=1");
  control("out=1");

  reason();
  reason();

  STRCMP_CONTAINS("\"total\":2", get("/stats").c_str());
}

TEST(HttpSource, WaitsForASlowPlatformUntilItsTimeout) {
  next(Version());

  control("slow_ms=50");
  CHECK(ResultCode::Ok == reason());

  control("slow_ms=60000");
  CHECK(ResultCode::PlatformUnreachable == reason());
}

TEST(HttpSource, ShowsAStalePlatformAsItIs) {
  const IntentBundle First = next(Version());
  Folder.write("20-b.ini", "[service b]\n");
  const IntentBundle Second = next(First.version());

  control("stale=" + std::to_string(First.Revision));

  CHECK(First.Revision == next(Version()).Revision);
  CHECK_FALSE(
      Source.ReadIntent(Second.version(), DurationMs(0)).Value.has_value());
}

TEST(HttpSource, ReadsTheListOfInstances) {
  Folder.write("instances.json",
               R"({"instances": [{"name": "a-1", "domain": "recife",
                   "service": "a", "slot": 3, "state": "leaving",
                   "peer_address": "127.10.0.1:7000"}]})");
  const Clock Time = Clock::monotonic();
  const TimeMs Until = Time.now() + LongestWait;
  PlatformRead<InstanceList> Read;
  while (!Read.Value && Time.now() < Until)
    Read = Source.ReadInstances(0);

  LONGS_EQUAL(1, Read.Value->Instances.size());
  CHECK(ListedState::Leaving == Read.Value->Instances[0].State);
  CHECK_FALSE(Source.ReadInstances(Read.Value->Revision).Value.has_value());
}

TEST(HttpSource, CannotConnectWhereNothingListens) {
  Source = httpSource(*Endpoint::parse("127.10.1.2:1"), DurationMs(500));

  CHECK(ResultCode::PlatformUnreachable == reason());
}

TEST(HttpSource, ReturnsEarlyOnceCancelled) {
  const IntentBundle First = next(Version());
  std::future<PlatformRead<IntentBundle>> Watch =
      std::async(std::launch::async, [&] {
        return Source.ReadIntent(First.version(), DurationMs(3600000));
      });

  Source.Cancel();

  CHECK(std::future_status::ready ==
        Watch.wait_for(std::chrono::milliseconds(LongestWait.Value)));
  CHECK(ResultCode::Stopped == Watch.get().Reason);
}

// The whole duty against the real stand-in.
TEST(HttpSource, FeedsAReaderThatStopsWhileItWatches) {
  PlatformSettings Settings;
  Settings.FleetReadsPerSecond = 100;
  Settings.FleetNodes = 1;
  Settings.WatchWait = LongestWait;
  std::promise<IntentBundle> Given;
  PlatformReaderHooks Hooks;
  Hooks.OnBundle = [&](IntentBundle B) { Given.set_value(std::move(B)); };
  PlatformReader Reader(Source, Settings, std::move(Hooks), 1);

  Reader.start();
  const auto Done =
      Given.get_future().wait_for(std::chrono::milliseconds(LongestWait.Value));
  Reader.stop();

  CHECK(std::future_status::ready == Done);
}
