#include "sources/PlatformSource.h"

#include "support/TemporaryFolder.h"

#include <filesystem>
#include <fstream>
#include <future>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs LongestWait{20000};

} // namespace

TEST_GROUP(FolderSource) {
  TemporaryFolder Folder;

  void setup() override { Folder.write("10-a.ini", "[service a]\n"); }
};

TEST(FolderSource, ReturnsTheSameVersionToTwoReaders) {
  const auto First =
      folderSource(Folder.path()).ReadIntent(Version(), LongestWait);
  const auto Second =
      folderSource(Folder.path()).ReadIntent(Version(), LongestWait);

  CHECK(First.Value->version() == Second.Value->version());
}

TEST(FolderSource, ReportsEveryChangeEvenWithAnOldModificationTime) {
  const PlatformSource Source = folderSource(Folder.path());
  const Version First =
      Source.ReadIntent(Version(), LongestWait).Value->version();

  Folder.write("20-b.ini", "[service b]\n");
  const auto Added = Source.ReadIntent(First, LongestWait);
  std::filesystem::last_write_time(Folder.file("20-b.ini"), {});
  const auto Touched = Source.ReadIntent(Added.Value->version(), LongestWait);
  std::filesystem::remove(Folder.file("20-b.ini"));
  const auto Removed = Source.ReadIntent(Touched.Value->version(), LongestWait);

  LONGS_EQUAL(2, Added.Value->Files.size());
  LONGS_EQUAL(2, Touched.Value->Files.size());
  LONGS_EQUAL(1, Removed.Value->Files.size());
}

TEST(FolderSource, IgnoresFilesThatAreNotIntent) {
  Folder.write("README.md", "notes");
  Folder.write(".10-a.ini.swp", "editor");
  Folder.write("instances.json", "{}");

  const auto Read =
      folderSource(Folder.path()).ReadIntent(Version(), LongestWait);

  LONGS_EQUAL(1, Read.Value->Files.size());
}

TEST(FolderSource, ReportsAnUnreadableFolderAsUnreachable) {
  const auto Read =
      folderSource("/nonexistent").ReadIntent(Version(), DurationMs(0));

  CHECK(ResultCode::PlatformUnreachable == Read.Reason);
}

TEST(FolderSource, ReturnsEarlyWhenCancelled) {
  const PlatformSource Source = folderSource(Folder.path());
  const auto First = Source.ReadIntent(Version(), LongestWait);
  std::future<PlatformRead<IntentBundle>> Watch =
      std::async(std::launch::async, [&] {
        return Source.ReadIntent(First.Value->version(), DurationMs(3600000));
      });

  Source.Cancel();

  CHECK(std::future_status::ready ==
        Watch.wait_for(std::chrono::milliseconds(LongestWait.Value)));
}
