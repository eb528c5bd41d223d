// Tests a mesh of real processes in a deployment without organisations.

#include "platform/StoreMeshFixture.h"

#include <fstream>
#include <string>
#include <vector>

#include <fmt/format.h>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Highest setting of `[callers] max_body_bytes`.
constexpr std::size_t LargestBodyBytes = 16 * 1024 * 1024;

/// Largest resident memory of a process so far, in bytes.
std::size_t peakMemory(const standins::Process &Process) {
  std::ifstream Status(fmt::format("/proc/{}/status", Process.id()));
  for (std::string Line; std::getline(Status, Line);)
    if (Line.starts_with("VmHWM:"))
      return std::stoul(Line.substr(Line.find(':') + 1)) * 1024;
  return 0;
}

} // namespace

TEST_GROUP(OpenMesh) {
  StoreMesh Mesh;

  void setup() override {
    Mesh.HasOrganisations = false;
    try {
      Mesh.start();
    } catch (const std::exception &Error) {
      FAIL(Error.what());
    }
  }
};

// Guards against nodes that do not start because their platform names no bounds
// of keys and quotas, and against requests that are refused for lack of a key.
TEST(OpenMesh, ServesEveryRouteWithoutAKey) {
  for (const StoreMeshInstance &Entry : Mesh.Instances) {
    for (const char *Path : {"/open/a", "/read/a", "/book/a"})
      LONGS_EQUAL(
          200,
          Mesh.send(Entry, {.Id = Entry.Id + Path, .Path = Path}).status());
  }
}

TEST_GROUP(ScheduledMesh) {
  StoreMesh Mesh;

  void setup() override {
    Mesh.HasOrganisations = false;
    Mesh.LinkMbps = 200;
    Mesh.MaxBodyBytes = LargestBodyBytes;
    try {
      Mesh.start();
    } catch (const std::exception &Error) {
      FAIL(Error.what());
    }
  }
};

// Guards against messages about bodies that a node's transport does not know,
// and against limits of single messages, which are below those of callers.
TEST(ScheduledMesh, ServesLargeBodiesThroughEveryNode) {
  for (const std::size_t Bytes : {60'000UL, LargestBodyBytes}) {
    for (const StoreMeshInstance &Entry : Mesh.Instances) {
      const std::string Id = Entry.Id + std::to_string(Bytes);
      LONGS_EQUAL(200, Mesh.send(Entry, {.Id = Id,
                                         .Path = "/book/a",
                                         .Method = "POST",
                                         .Body = std::string(Bytes, 'b')})
                           .status());
      LONGS_EQUAL(1, Mesh.runCount(Id));
    }
  }
}

// Guards against copies of a large body that exceed the memory of a machine. A
// sanitizer keeps freed memory, so nothing is bounded with one.
TEST(ScheduledMesh, HoldsALargeBodyAndOneCopyAtEachNode) {
  std::vector<std::size_t> Before;
  for (const StoreMeshInstance &Instance : Mesh.Instances)
    Before.push_back(peakMemory(Instance.Node));

  LONGS_EQUAL(200, Mesh.send(Mesh.Instances.front(),
                             {.Id = "large",
                              .Path = "/book/a",
                              .Method = "POST",
                              .Body = std::string(LargestBodyBytes, 'b')})
                       .status());

#if !defined(__SANITIZE_ADDRESS__) && !defined(__SANITIZE_THREAD__)
  for (std::size_t I = 0; I < Before.size(); ++I)
    CHECK_COMPARE(peakMemory(Mesh.Instances[I].Node) - Before[I], <,
                  LargestBodyBytes * 5 / 2);
#endif
}
