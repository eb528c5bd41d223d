// Tests a mesh of real processes in a deployment without organisations.

#include "platform/StoreMeshFixture.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

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
  for (const StoreMeshInstance &Entry : Mesh.Instances)
    for (const char *Path : {"/open/a", "/read/a", "/book/a"})
      LONGS_EQUAL(
          200,
          Mesh.send(Entry, {.Id = Entry.Id + Path, .Path = Path}).status());
}
