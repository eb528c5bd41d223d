// Tests of calls that a target makes while it runs another request, in a mesh
// without organisations.

#include "calls/MeshFixture.h"

#include <memory>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr int Slots = 6;

Snapshot makeOpenConfig() {
  Snapshot Config = makeConfig();
  Config.Organisations.clear();
  Config.Routes.front().Access = RouteAccess::Open;
  Config.Routes.front().Objective = DurationMs(500);
  return Config;
}

/// A request of a caller, or a call that a target makes. Its tag is its id.
CallRequest requestWithId(const std::string &Id) {
  CallRequest Request = makeRequest(Id, true);
  Request.Organisation.clear();
  Request.Priority = callPriority(0, 0);
  Request.Headers.push_back({HeaderScheme().RequestId, Id});
  return Request;
}

} // namespace

TEST_GROUP(InnerCall) {
  std::unique_ptr<FakeCallMesh> Mesh;

  void setup() override {
    Mesh =
        std::make_unique<FakeCallMesh>(1, CallSettings(), FakeNetworkOptions());
    Mesh->Scheme.ChildIdSeparator = '.';
    Mesh->addNode("east/queue-0", "east", "queue", {});
    Mesh->setSnapshot(std::make_shared<const Snapshot>(makeOpenConfig()));
    Mesh->publishInstances();
    Mesh->runFor(20 * SecondUs);
  }

  /// Submits as many requests as there are slots, and more that wait.
  void fillTarget() {
    for (int I = 0; I < 6 * Slots; ++I)
      Mesh->submit(0, requestWithId("caller" + std::to_string(I)));
    Mesh->runFor(SecondUs / 1000);
  }

  std::int64_t answeredUs(std::size_t Number) const {
    return Mesh->Calls.at(Number).AnsweredUs;
  }
};

// Guards against work that is lost at two services: a target holds a slot while
// its call waits behind callers' requests or is turned away.
TEST(InnerCall, RunsBeforeTheRequestsThatWait) {
  fillTarget();

  const std::size_t Inner = Mesh->submit(0, requestWithId("caller0.1"));
  Mesh->runFor(2 * SecondUs);

  LONGS_EQUAL(200, Mesh->Calls.at(Inner).Answer.Status);
  CHECK_COMPARE(answeredUs(Inner), <, answeredUs(3 * Slots));
}

// Guards against callers that get the rank of inner calls with an id of their
// own making.
TEST(InnerCall, HasTheRankOfACallerWithoutAParentThatRuns) {
  fillTarget();

  const std::size_t Claimed = Mesh->submit(0, requestWithId("elsewhere.1"));
  Mesh->runFor(2 * SecondUs);

  CHECK_COMPARE(answeredUs(Claimed), >, answeredUs(3 * Slots));
}

// Guards against a call that outlives the request it was made for.
TEST(InnerCall, HasNoMoreTimeThanItsParent) {
  CallRequest Parent = requestWithId("parent");
  Parent.Remaining = DurationMs(300);
  Mesh->submit(0, Parent);
  Mesh->runFor(SecondUs / 1000);

  const std::size_t Inner = Mesh->submit(0, requestWithId("parent.1"));
  Mesh->runFor(SecondUs);

  LONGS_EQUAL(1, Mesh->Calls.at(Inner).Answers);
  CHECK_COMPARE(answeredUs(Inner) - Mesh->Calls.at(Inner).SentUs, <,
                SecondUs / 2);
}
