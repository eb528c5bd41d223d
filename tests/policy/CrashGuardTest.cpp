#include "support/Property.h"

#include "policy/CrashGuard.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Start(10'000'000);
constexpr RequestFingerprint Crashing = 1;

} // namespace

TEST_GROUP(CrashGuard) { CrashGuard Guard{{}}; };

TEST(CrashGuard, RefusesARequestAfterItsSecondCrash) {
  CHECK_FALSE(Guard.onCrash(Crashing, 1, Start));
  CHECK_FALSE(Guard.shouldRefuse(Crashing, Start));

  CHECK_TRUE(Guard.onCrash(Crashing, 2, Start));

  CHECK_TRUE(Guard.shouldRefuse(Crashing, Start));
  CHECK_FALSE(Guard.shouldRefuse(Crashing + 1, Start));
  LONGS_EQUAL(1, Guard.quarantined());
}

TEST(CrashGuard, CountsEachCrashOnce) {
  Guard.onCrash(Crashing, 1, Start);

  Guard.onCrash(Crashing, 1, Start);
  Guard.merge(Guard.encode(Start), Start);

  CHECK_FALSE(Guard.shouldRefuse(Crashing, Start));
}

TEST(CrashGuard, SuccessClearsARequestOnAllNodes) {
  CrashGuard Peer{{}};
  Guard.onCrash(Crashing, 1, Start);
  Guard.onCrash(Crashing, 2, Start);
  Peer.merge(Guard.encode(Start), Start);
  CHECK_TRUE(Peer.shouldRefuse(Crashing, Start));

  Guard.onSuccess(Crashing);
  Peer.merge(Guard.encode(Start), Start);

  CHECK_FALSE(Guard.shouldRefuse(Crashing, Start));
  CHECK_FALSE(Peer.shouldRefuse(Crashing, Start));
}

TEST(CrashGuard, AllowsOneTrialAndBacksOffAfterAFurtherCrash) {
  const CrashGuardSettings Settings;
  Guard.onCrash(Crashing, 1, Start);
  Guard.onCrash(Crashing, 2, Start);
  const TimeMs Trial = Start + Settings.FirstTrial;

  CHECK_FALSE(Guard.shouldRefuse(Crashing, Trial));
  CHECK_TRUE(Guard.shouldRefuse(Crashing, Trial));
  Guard.onCrash(Crashing, 3, Trial);
  CHECK_TRUE(Guard.shouldRefuse(Crashing, Trial + Settings.FirstTrial));
}

TEST(CrashGuard, DropsExpiredMarks) {
  Guard.onCrash(Crashing, 1, Start);

  Guard.expire(Start + CrashGuardSettings().Memory);

  CHECK_TRUE(Guard.empty());
}

// Nodes that exchange marks converge within the size limit, for any order, loss
// and repetition of messages.
TEST(CrashGuard, MarksOfNodesConverge) {
  checkProperty("merging is a union", [] {
    std::array<CrashGuard, 3> Nodes{CrashGuard{{}}, CrashGuard{{}},
                                    CrashGuard{{}}};
    const auto Steps = *rc::gen::container<std::vector<std::array<int, 3>>>(
        rc::gen::container<std::array<int, 3>>(rc::gen::inRange(0, 3)));
    CrashId Next = 0;
    for (const auto &[Operation, Node, Peer] : Steps) {
      if (Operation == 0)
        Nodes.at(Node).onCrash(static_cast<RequestFingerprint>(Peer), Next++,
                               Start);
      else if (Operation == 1)
        Nodes.at(Node).merge(Nodes.at(Peer).encode(Start), Start);
      else
        Nodes.at(Node).onSuccess(static_cast<RequestFingerprint>(Peer));
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
  checkProperty("accepts any bytes without an effect", [this] {
    Guard.merge(*rc::gen::arbitrary<std::string>(), Start);
    RC_ASSERT(Guard.quarantined() == 0U);
  });
}
