#include "operators/NodeStatus.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(NodeStatus) {
  NodeStatus Status;
  bool Healthy = false;

  void setup() override {
    Status.InForce = Version{7, Digest::sha256("seven")};
    Status.Domains = {{"recife", "agreste", DomainStatus::In, 1}};
    FleetRow Row;
    Row.InstanceInfo = {"recife/order-0", "recife",          "order", 0,
                        "127.0.0.1:7101", TargetState::Ready};
    Row.Health = "alive";
    Row.InForce = *Status.InForce;
    Status.Fleet = {Row};
  }
};

TEST(NodeStatus, TableShowsAHealthyMesh) {
  const auto Table = statusTable(statusJson(Status), Healthy);

  CHECK(Table.has_value());
  CHECK(Healthy);
  CHECK(Table->find("recife/order-0") != std::string::npos);
}

TEST(NodeStatus, MeshWithAnOutdatedInstanceIsNotHealthy) {
  FleetRow Outdated = Status.Fleet.front();
  Outdated.InForce.Revision = 6;
  Status.Fleet.push_back(Outdated);

  CHECK(statusTable(statusJson(Status), Healthy).has_value());

  CHECK_FALSE(Healthy);
}

TEST(NodeStatus, MeshWithAnEmptyDomainIsNotHealthy) {
  Status.Domains.push_back({"caruaru", "agreste", DomainStatus::In, 1});
  CHECK(statusTable(statusJson(Status), Healthy).has_value());
  CHECK_FALSE(Healthy);

  Status.Domains.back().Status = DomainStatus::Out;
  CHECK(statusTable(statusJson(Status), Healthy).has_value());
  CHECK(Healthy);
}

TEST(NodeStatus, RejectsTextThatIsNoStatusPage) {
  checkProperty("arbitrary text is refused", [this](const std::string &Text) {
    RC_ASSERT(!statusTable(Text, Healthy).has_value());
  });
  CHECK_FALSE(statusTable("{\"node\":{}}", Healthy).has_value());
}
