#include "support/Property.h"

#include "policy/CrashGuard.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start(10'000'000);
constexpr RequestFingerprint Bad = 1;

} // namespace

TEST_GROUP(CrashGuard) { CrashGuard Guard{{}}; };

TEST(CrashGuard, RefusesARequestAfterItsSecondCrash) {
  CHECK_FALSE(Guard.onCrash(Bad, 1, Start));
  CHECK_FALSE(Guard.shouldRefuse(Bad, Start));

  CHECK_TRUE(Guard.onCrash(Bad, 2, Start));

  CHECK_TRUE(Guard.shouldRefuse(Bad, Start));
  CHECK_FALSE(Guard.shouldRefuse(Bad + 1, Start));
  LONGS_EQUAL(1, Guard.quarantined());
}

TEST(CrashGuard, OneCrashCountsOnceHoweverOftenItIsHeardOf) {
  Guard.onCrash(Bad, 1, Start);

  Guard.onCrash(Bad, 1, Start);
  Guard.merge(Guard.encode(Start), Start);

  CHECK_FALSE(Guard.shouldRefuse(Bad, Start));
}

TEST(CrashGuard, SuccessClearsARequestEverywhere) {
  CrashGuard Other{{}};
  Guard.onCrash(Bad, 1, Start);
  Guard.onCrash(Bad, 2, Start);
  Other.merge(Guard.encode(Start), Start);
  CHECK_TRUE(Other.shouldRefuse(Bad, Start));

  Guard.onSuccess(Bad);
  Other.merge(Guard.encode(Start), Start);

  CHECK_FALSE(Guard.shouldRefuse(Bad, Start));
  CHECK_FALSE(Other.shouldRefuse(Bad, Start));
}

TEST(CrashGuard, LetsATrialByAndWaitsLongerAfterEachFurtherCrash) {
  const CrashGuardSettings Settings;
  Guard.onCrash(Bad, 1, Start);
  Guard.onCrash(Bad, 2, Start);
  const TimeMs Trial = Start + Settings.FirstTrial;

  CHECK_FALSE(Guard.shouldRefuse(Bad, Trial));
  CHECK_TRUE(Guard.shouldRefuse(Bad, Trial));
  Guard.onCrash(Bad, 3, Trial);
  CHECK_TRUE(Guard.shouldRefuse(Bad, Trial + Settings.FirstTrial));
}

TEST(CrashGuard, ForgetsAfterItsMemory) {
  Guard.onCrash(Bad, 1, Start);

  Guard.expire(Start + CrashGuardSettings().Memory);

  CHECK_TRUE(Guard.empty());
}

// Nodes that hear of each other's marks in any order, with any loss and
// repetition, agree in the end, within bounds.
TEST(CrashGuard, MarksOfNodesConverge) {
  checkProperty("merging is a union", [] {
    std::array<CrashGuard, 3> Nodes{CrashGuard{{}}, CrashGuard{{}},
                                    CrashGuard{{}}};
    const auto Steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 3)));
    CrashId Next = 0;
    for (const auto &[What, At, Other] : Steps) {
      if (What == 0)
        Nodes.at(At).onCrash(static_cast<RequestFingerprint>(Other), Next++,
                             Start);
      else if (What == 1)
        Nodes.at(At).merge(Nodes.at(Other).encode(Start), Start);
      else
        Nodes.at(At).onSuccess(static_cast<RequestFingerprint>(Other));
    }
    RC_PRE(Next <= MaxCrashesPerMark);
    for (int Round = 0; Round < 2; ++Round)
      for (CrashGuard &From : Nodes)
        for (CrashGuard &To : Nodes)
          To.merge(From.encode(Start), Start);

    for (CrashGuard &Each : Nodes) {
      RC_ASSERT(Each.quarantined() == Nodes[0].quarantined());
      RC_ASSERT(Each.encode(Start).size() <= 4096U);
    }
  });
}

TEST(CrashGuard, IgnoresMalformedMarks) {
  checkProperty("any bytes are survived", [this] {
    Guard.merge(*rc::gen::arbitrary<std::string>(), Start);
    RC_ASSERT(Guard.quarantined() == 0U);
  });
}
