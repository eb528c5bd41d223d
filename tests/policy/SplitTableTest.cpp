#include "policy/SplitTable.h"

#include <cmath>
#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Process numbers of nodes that start within 0.3 s: the wall clock in ms above
/// 20 random bits.
std::vector<std::uint64_t> numbersOfTogetherStarted(std::size_t Nodes) {
  constexpr std::uint64_t FirstMs = 1'796'428'800'000;
  std::mt19937_64 Random(1);
  std::vector<std::uint64_t> Numbers;
  for (std::size_t Node = 0; Node < Nodes; ++Node)
    Numbers.push_back(((FirstMs + Random() % 300) << 20U) |
                      (Random() % (1U << 20U)));
  return Numbers;
}

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

TEST(SplitTable, NodesThatStartTogetherDoNotPickInStep) {
  constexpr std::size_t Nodes = 85;
  constexpr double MaxDeviation = 0.1;
  for (int Name = 0; Name < 50; ++Name) {
    Config.Routes[0].Name = "split-" + std::to_string(Name);
    double Picked = 0;
    for (const std::uint64_t Number : numbersOfTogetherStarted(Nodes)) {
      const SplitTable Own(Config, Number);
      for (int Request = 0; Request < 2; ++Request)
        Picked += Own.pick(Config.Routes[0]) == "b" ? 1 : 0;
    }
    CHECK(std::abs(Picked / (2 * Nodes) - 0.1) <= MaxDeviation);
  }
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
