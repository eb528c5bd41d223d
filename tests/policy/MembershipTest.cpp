#include "policy/Membership.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Membership) {
  MembershipSettings Settings;
  Instance Self{"a/1", "a", "s", 1, "10.0.0.1:7000", TargetState::Ready};
  Instance Other{"b/1", "b", "s", 1, "10.0.0.2:7000", TargetState::Ready};
  Membership Table{Settings, Self, 10, TimeMs(0)};

  MemberRecord recordOfOther(std::uint64_t Incarnation) const {
    return {Other, {Incarnation, 0, MemberHealth::Alive}, {}};
  }
  MemberHealth healthOfOther() const {
    return Table.find("b/1")->Record.Order.Health;
  }
};

TEST(Membership, DeclaresUnreachableMemberDeadAfterSuspectTimeout) {
  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));

  CHECK_TRUE(Table.onUnreachable("b/1", TimeMs(100)));
  Table.expire(TimeMs(100) + Settings.SuspectTimeout - DurationMs(1));
  CHECK(MemberHealth::Suspect == healthOfOther());
  Table.expire(TimeMs(100) + Settings.SuspectTimeout);

  CHECK(MemberHealth::Dead == healthOfOther());
  CHECK(TargetState::Down == Table.instances().back().State);
}

TEST(Membership, ClearsSuspicionThatTheMemberRefutes) {
  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));
  Table.onUnreachable("b/1", TimeMs(100));
  MemberRecord Refuted = recordOfOther(1);
  Refuted.Order.Sequence = 1;

  Table.merge(Refuted, Propagation::Forward, TimeMs(200));
  Table.expire(TimeMs(60000));

  CHECK(MemberHealth::Alive == healthOfOther());
}

TEST(Membership, RefutesWrongHealthOfItself) {
  MemberRecord Suspected = Table.self();
  Suspected.Order.Health = MemberHealth::Dead;

  Table.merge(Suspected, Propagation::Forward, TimeMs(100));

  CHECK(MemberHealth::Alive == Table.self().Order.Health);
  CHECK_TRUE(Table.self().Order > Suspected.Order);
  LONGS_EQUAL(1, Table.refutations());
}

// Guards against two processes with the same name raising their incarnations
// against each other without end.
TEST(Membership, YieldsItsNameToNewerProcess) {
  MemberRecord Newer = Table.self();
  Newer.Order.Incarnation = 11;

  Table.merge(Newer, Propagation::Forward,
              TimeMs(0) + Settings.TakeoverWindow + DurationMs(1));

  CHECK_TRUE(Table.isReplaced());
  LONGS_EQUAL(10, Table.self().Order.Incarnation);
}

TEST(Membership, ClaimsItsNameAfterRestartWithEarlierClock) {
  MemberRecord Earlier = Table.self();
  Earlier.Order.Incarnation = 99;

  Table.merge(Earlier, Propagation::Forward, TimeMs(1000));

  CHECK_TRUE(Table.self().Order > Earlier.Order);
}

TEST(Membership, IgnoresStalePlatformList) {
  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));
  const std::vector<ListedMember> Leaving{{Other, true}};
  const std::vector<ListedMember> Live{{Other, false}};

  Table.onListed(Leaving, 7, false, TimeMs(0));
  Table.onListed(Live, 6, false, TimeMs(0));
  CHECK(TargetState::Draining == Table.instances().back().State);

  Table.onListed(Live, 8, false, TimeMs(0));
  CHECK(TargetState::Ready == Table.instances().back().State);
}

// A node that could not read keeps a row that others have seen removed.
TEST(Membership, RowThatWasReadEarlierReplacesNoLeavingThatWasReadLater) {
  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));
  Table.onListed(std::vector<ListedMember>{{Other, true}}, 7, false, TimeMs(0));

  Table.onListed(std::vector<ListedMember>{{Other, false, 6}}, 9, true,
                 TimeMs(0));

  CHECK(TargetState::Draining == Table.instances().back().State);
}

// The receiver knew the record as it was before the platform listed the member
// as leaving.
TEST(Membership, SendsAgainThatAMemberLeavesIfTheReceiverKnewAnOlderListing) {
  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));
  const std::vector<MemberRecord> Sent = Table.takeRumours(4);
  while (!Table.takeRumours(4).empty())
    continue;
  Table.onListed(std::vector<ListedMember>{{Other, true}}, 7, false, TimeMs(0));
  const std::size_t Pending = Table.pendingRumours();

  for (int I = 0; I < 100; ++I)
    Table.onRumoursKnown(Sent, ~0U);

  LONGS_EQUAL(Pending, Table.pendingRumours());
}

TEST(Membership, SendsEachRecordALimitedNumberOfTimes) {
  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));
  std::size_t Sent = 0;

  while (!Table.takeRumours(4).empty())
    ++Sent;

  CHECK_TRUE(Sent >= 2);
  CHECK_TRUE(Sent < 20);
}

TEST(Membership, HoldsAtMostMaxMembers) {
  Settings.MaxMembers = 3;
  Membership Small(Settings, Self, 1, TimeMs(0));
  for (int I = 0; I < 10; ++I) {
    MemberRecord Record = recordOfOther(1);
    Record.Place.Name += std::to_string(I);
    Small.merge(Record, Propagation::Forward, TimeMs(0));
  }

  LONGS_EQUAL(3, Small.members().size());
}

TEST(Membership, DigestIsIndependentOfMergeOrder) {
  MemberRecord Third = recordOfOther(3);
  Third.Place.Name = "c/1";
  Membership Again(Settings, Self, 10, TimeMs(0));

  Table.merge(recordOfOther(1), Propagation::Forward, TimeMs(0));
  Table.merge(recordOfOther(2), Propagation::Forward, TimeMs(0));
  Table.merge(Third, Propagation::LocalOnly, TimeMs(0));
  Again.merge(Third, Propagation::Forward, TimeMs(0));
  CHECK_FALSE(Table.digest() == Again.digest());
  Again.merge(recordOfOther(2), Propagation::LocalOnly, TimeMs(0));

  CHECK_TRUE(Table.digest() == Again.digest());
}
