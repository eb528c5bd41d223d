#include "operators/Explanation.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Explanation) {
  Snapshot Config;

  void setup() override {
    Config.Services["order"] = {"order", 9};
    Config.Domains["recife"] = {"recife", "agreste", DomainStatus::In, 4};
    Config.Domains["caruaru"] = {"caruaru", "agreste", DomainStatus::Out, 4};
    Config.Rates["large"] = {"large", 200, 400};
    Config.Organisations["olinda"] = {"olinda", "large", 1};
    Route Orders;
    Orders.Name = "order-place";
    Orders.Method = "POST";
    Orders.Path = "/orders";
    Orders.Service = "order";
    Config.Routes = {Orders};
  }

  bool says(const RequestQuestion &Asked, const std::string &Words) {
    const std::vector<RouterCandidate> Candidates = {
        {"recife/order-0", "recife", TargetState::Ready, 1.0, 2.5},
        {"caruaru/order-0", "caruaru", TargetState::Ready, 0.0, 2.5}};
    const std::string Text = explainText(Config, Asked, Candidates);
    return Text.find(Words) != std::string::npos;
  }
};

TEST(Explanation, NamesRouteRateAndCandidates) {
  const RequestQuestion Asked{"POST", "/orders", "olinda"};

  CHECK(says(Asked, "order-place"));
  CHECK(says(Asked, "200/s, burst 400"));
  CHECK(says(Asked, "recife/order-0"));
}

TEST(Explanation, SaysWhyACandidateIsNotUsed) {
  CHECK(says({"POST", "/orders", ""}, "not used: its failure domain is out"));
}

TEST(Explanation, SaysWhyARequestWouldBeRefused) {
  CHECK(says({"GET", "/orders", ""}, "no route matches"));
  CHECK(says({"POST", "/orders", "nobody"}, "not declared"));
}
