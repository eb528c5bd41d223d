#include "soak/Scenario.h"
#include "soak/FaultPlan.h"

#include <set>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::soak;

TEST_GROUP(SoakScenario) {
  Problems ProblemList;

  std::optional<Scenario> read(const std::string &Text) {
    ProblemList.clear();
    return readScenario(Text, "s.ini", ProblemList);
  }

  void checkRefused(const std::string &Text, const std::string &Expected) {
    CHECK_FALSE(read(Text).has_value());
    STRCMP_CONTAINS(Expected.c_str(), problemsText(ProblemList).c_str());
  }
};

TEST(SoakScenario, ReadsValuesAndDefaults) {
  const auto S = read("[mesh]\nnodes = 9\n[faults]\n"
                      "kinds = node-kill, store-reset\n");
  CHECK(S.has_value());
  UNSIGNED_LONGS_EQUAL(9, S->Nodes);
  UNSIGNED_LONGS_EQUAL(3, S->CallersPerNode);
  CHECK((S->Faults == std::vector{FaultKind::NodeKill, FaultKind::StoreReset}));
  LONGS_EQUAL(15'000, S->Limits.Recovery.Value);
}

TEST(SoakScenario, SelectsAllFaultsByDefault) {
  const auto S = read("");
  CHECK(S.has_value());
  CHECK(S->Faults == allFaults());
}

TEST(SoakScenario, RefusesAnUnknownFaultWithItsLineAndWhatIsAllowed) {
  checkRefused("[faults]\nkinds = node-kill, flood\n", "s.ini:2");
  checkRefused("[faults]\nkinds = flood\n", "target-leave");
  checkRefused("[faults]\nkinds =\n", "s.ini:2");
}

TEST(SoakScenario, RefusesANegativeTime) {
  checkRefused("[faults]\ntime_ms = -1\n", "s.ini:2");
}

TEST(SoakScenario, RefusesACountAboveTheLimit) {
  checkRefused("[mesh]\n\nnodes = 201\n", "s.ini:3");
  checkRefused("[mesh]\nnodes = 201\n", "from 2 to 200");
  checkRefused("[mesh]\ncallers_per_node = 51\n", "from 1 to 50");
}

TEST(SoakScenario, RefusesAnUnknownSectionAndKey) {
  checkRefused("[speed]\n", "s.ini:1");
  checkRefused("[mesh]\nzones = 2\n", "s.ini:2");
}

TEST(SoakScenario, RefusesAShortestFaultAboveTheLongest) {
  checkRefused("[faults]\nmin_duration_ms = 2\nmax_duration_ms = 1\n",
               "min_duration_ms");
}

TEST_GROUP(SoakFaultPlan) {
  Scenario Plan;

  void setup() override {
    Problems ProblemList;
    Plan = *readScenario("[faults]\ntime_ms = 600000\n", "s.ini", ProblemList);
  }
};

TEST(SoakFaultPlan, RepeatsForASeed) {
  CHECK(planFaults(Plan, 7) == planFaults(Plan, 7));
  CHECK_FALSE(planFaults(Plan, 7) == planFaults(Plan, 8));
}

TEST(SoakFaultPlan, DrawsEachFaultOnEachNode) {
  std::set<FaultKind> Kinds;
  std::set<std::size_t> Nodes;
  for (const PlannedFault &F : planFaults(Plan, 1)) {
    Kinds.insert(F.Kind);
    Nodes.insert(F.Node);
  }
  UNSIGNED_LONGS_EQUAL(allFaults().size(), Kinds.size());
  UNSIGNED_LONGS_EQUAL(Plan.Nodes, Nodes.size());
}

TEST(SoakFaultPlan, DrawsEachFaultOnceBeforeItDrawsOneAgain) {
  for (const std::uint64_t Seed : {1, 2, 3}) {
    const auto Faults = planFaults(Plan, Seed);
    std::set<FaultKind> Kinds;
    for (std::size_t I = 0; I < allFaults().size(); ++I)
      Kinds.insert(Faults.at(I).Kind);
    UNSIGNED_LONGS_EQUAL(allFaults().size(), Kinds.size());
  }
}

TEST(SoakFaultPlan, KeepsItsTimesAndOverlapsFaults) {
  const auto Faults = planFaults(Plan, 1);
  std::size_t Overlaps = 0;
  for (std::size_t I = 0; I < Faults.size(); ++I) {
    CHECK(Faults[I].Start <= Plan.FaultTime);
    CHECK(Faults[I].Duration >= Plan.MinDuration);
    CHECK(Faults[I].Duration <= Plan.MaxDuration);
    if (I > 0 && Faults[I].Start < Faults[I - 1].Start + Faults[I - 1].Duration)
      ++Overlaps;
  }
  CHECK(Overlaps > 0);
}

TEST(SoakFaultPlan, GivesANodeProcessOneFaultAtATime) {
  const auto Faults = planFaults(Plan, 3);
  for (std::size_t I = 0; I < Faults.size(); ++I) {
    for (std::size_t J = I + 1; J < Faults.size(); ++J) {
      const bool SameProcess = Faults[I].Kind <= FaultKind::NodeHup &&
                               Faults[J].Kind <= FaultKind::NodeHup &&
                               Faults[I].Node == Faults[J].Node;
      if (SameProcess)
        CHECK(Faults[J].Start > Faults[I].Start + Faults[I].Duration);
    }
  }
}
