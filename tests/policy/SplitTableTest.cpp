#include "policy/SplitTable.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Snapshot config() {
  Snapshot Config;
  Route Split;
  Split.Name = "split";
  Split.Split = {{"a", 90}, {"b", 10}, {"never", 0}};
  Route Plain;
  Plain.Name = "plain";
  Plain.Service = "c";
  Config.Routes = {Split, Plain};
  return Config;
}

} // namespace

TEST_GROUP(SplitTable) {
  Snapshot Config = config();
  SplitTable Table{Config, 7};
};

TEST(SplitTable, SharesAreAccurateOverFewRequests) {
  std::map<std::string, int> Counts;

  for (int I = 0; I < 50; ++I)
    ++Counts[Table.pick(Config.Routes[0])];

  CHECK(Counts["a"] >= 43);
  CHECK(Counts["a"] <= 47);
  LONGS_EQUAL(0, Counts["never"]);
}

TEST(SplitTable, PicksTheSingleServiceOfAnUnsplitRoute) {
  STRCMP_EQUAL("c", Table.pick(Config.Routes[1]).c_str());
}

TEST(SplitTable, CoversTheWholeInterval) {
  STRCMP_EQUAL("a", serviceAt(Config.Routes[0], 0).c_str());
  STRCMP_EQUAL("a", serviceAt(Config.Routes[0], 0.899).c_str());
  STRCMP_EQUAL("b", serviceAt(Config.Routes[0], 0.901).c_str());
  STRCMP_EQUAL("b", serviceAt(Config.Routes[0], 0.9999999).c_str());
}
