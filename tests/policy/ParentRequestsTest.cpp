#include "policy/ParentRequests.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ParentRequests) { ParentRequests Parents{'.'}; };

// Guards against a caller's request that is ranked as an inner call.
TEST(ParentRequests, FindsNoParentForARequestOfACaller) {
  Parents.add("a1", TimeMs(100));

  CHECK_FALSE(Parents.parentDeadline("a1"));
  CHECK_FALSE(Parents.parentDeadline("b2"));
  CHECK_FALSE(Parents.parentDeadline("b2.1"));
  CHECK_FALSE(Parents.parentDeadline("a1x.1"));
}

TEST(ParentRequests, FindsTheParentOfACallWhileItRuns) {
  Parents.add("a1", TimeMs(100));

  CHECK(TimeMs(100) == Parents.parentDeadline("a1.7f"));

  Parents.remove("a1", TimeMs(100));
  CHECK_FALSE(Parents.parentDeadline("a1.7f"));
  LONGS_EQUAL(0, Parents.size());
}

TEST(ParentRequests, FindsTheParentOfACallOfACall) {
  Parents.add("a1.7f", TimeMs(100));

  CHECK(TimeMs(100) == Parents.parentDeadline("a1.7f.03"));
}

// Guards against a call that loses its parent because an earlier run of the
// same request has ended.
TEST(ParentRequests, KeepsARequestUntilItsLastRunHasEnded) {
  Parents.add("a1", TimeMs(100));
  Parents.add("a1", TimeMs(300));
  CHECK(TimeMs(300) == Parents.parentDeadline("a1.7f"));

  Parents.remove("a1", TimeMs(300));

  CHECK(TimeMs(100) == Parents.parentDeadline("a1.7f"));
}

TEST(ParentRequests, KnowsNoneWhereIdsAreNotNested) {
  ParentRequests None('\0');
  None.add("a1", TimeMs(100));

  CHECK_FALSE(None.parentDeadline("a1.7f"));
  LONGS_EQUAL(0, None.size());
}
