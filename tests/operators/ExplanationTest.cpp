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

  bool explanationContains(const ExplainRequest &Request,
                           const std::string &Words) {
    const std::vector<RouterCandidate> Candidates = {
        {"recife/order-0", "recife", TargetState::Ready, 1.0, 2.5},
        {"caruaru/order-0", "caruaru", TargetState::Ready, 0.0, 2.5}};
    const std::string Text = explainText(Config, Request, Candidates);
    return Text.find(Words) != std::string::npos;
  }
};

TEST(Explanation, NamesRouteRateAndCandidates) {
  const ExplainRequest Request{"POST", "/orders", "olinda"};

  CHECK(explanationContains(Request, "order-place"));
  CHECK(explanationContains(Request, "200/s, burst 400"));
  CHECK(explanationContains(Request, "recife/order-0"));
}

TEST(Explanation, ExplainsWhyACandidateIsExcluded) {
  CHECK(explanationContains({"POST", "/orders", ""},
                            "not used: its failure domain is out"));
}

TEST(Explanation, ExplainsWhyARequestIsRejected) {
  CHECK(explanationContains({"GET", "/orders", ""}, "no route matches"));
  CHECK(explanationContains({"POST", "/orders", "nobody"}, "not declared"));
}
