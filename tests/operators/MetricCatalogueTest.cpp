#include "operators/MetricCatalogue.h"

#include "operators/NodeStatus.h"
#include "support/CatalogueTable.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(MetricCatalogue){};

TEST(MetricCatalogue, DocumentedTableMatchesTheCode) {
  const auto Rows = catalogueRows(SOURCE_DIR "/docs/METRICS.md");
  LONGS_EQUAL(metricCatalogue().size(), Rows.size());

  for (std::size_t I = 0; I < Rows.size(); ++I) {
    const MetricEntry &Entry = metricCatalogue()[I];
    STRCMP_EQUAL(std::string(Entry.Name).c_str(), Rows[I].at(1).c_str());
    STRCMP_EQUAL(std::string(metricKindName(Entry.Kind)).c_str(),
                 Rows[I].at(2).c_str());
    STRCMP_EQUAL(std::string(Entry.Labels).c_str(), Rows[I].at(3).c_str());
    STRCMP_EQUAL(std::string(Entry.Help).c_str(), Rows[I].at(4).c_str());
  }
}

TEST(MetricCatalogue, PageContainsEveryMetric) {
  NodeStatus Status;
  Status.Fleet = {{}};
  Status.EventCounts = {{EventId::NodeStarted, 1}};
  Status.Traffic = {{}};
  Status.RefusedMessages = {{}};
  Status.Calls.Results[ResultCode::Ok] = {};
  Status.Organisations.Organisations = {{}};

  const std::string Page = metricsText(Status);

  for (const MetricEntry &Entry : metricCatalogue())
    CHECK_TRUE_TEXT(Page.find("# TYPE " + std::string(Entry.Name) + " ") !=
                        std::string::npos,
                    std::string(Entry.Name).c_str());
}
