#include "operators/NodeStatus.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(NodeStatus) {
  NodeStatus Status;
  bool Well = false;

  void setup() override {
    Status.InForce = Version{7, Digest::of("seven")};
    Status.Domains = {{"recife", "agreste", DomainStatus::In, 1}};
    FleetRow Row;
    Row.What = {"recife/order-0", "recife",          "order", 0,
                "127.0.0.1:7101", TargetState::Ready};
    Row.Health = "alive";
    Row.InForce = *Status.InForce;
    Status.Fleet = {Row};
  }
};

TEST(NodeStatus, TableShowsAWellMesh) {
  const auto Table = statusTable(statusJson(Status), Well);

  CHECK(Table.has_value());
  CHECK(Well);
  CHECK(Table->find("recife/order-0") != std::string::npos);
}

TEST(NodeStatus, AnInstanceThatLagsIsNotWell) {
  FleetRow Behind = Status.Fleet.front();
  Behind.InForce.Revision = 6;
  Status.Fleet.push_back(Behind);

  CHECK(statusTable(statusJson(Status), Well).has_value());

  CHECK_FALSE(Well);
}

TEST(NodeStatus, ADeclaredDomainWithoutInstancesIsNotWell) {
  Status.Domains.push_back({"caruaru", "agreste", DomainStatus::In, 1});
  CHECK(statusTable(statusJson(Status), Well).has_value());
  CHECK_FALSE(Well);

  Status.Domains.back().Status = DomainStatus::Out;
  CHECK(statusTable(statusJson(Status), Well).has_value());
  CHECK(Well);
}

TEST(NodeStatus, AnyOtherTextIsNoTable) {
  checkProperty("arbitrary text is refused", [this](const std::string &Text) {
    RC_ASSERT(!statusTable(Text, Well).has_value());
  });
  CHECK_FALSE(statusTable("{\"node\":{}}", Well).has_value());
}
