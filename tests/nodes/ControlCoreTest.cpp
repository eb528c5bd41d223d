#include "nodes/ControlCore.h"

#include "support/Property.h"

#include "nodes/FakeFleet.h"

#include <algorithm>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

std::size_t healthCount(const FakeFleet &Fleet, std::size_t Observer,
                        MemberHealth Health) {
  const ControlStatus Status = Fleet.Nodes[Observer]->Core->status();
  return static_cast<std::size_t>(
      std::count_if(Status.Members.begin(), Status.Members.end(),
                    [&](const auto &M) { return M.Health == Health; }));
}

/// Applies one random fault or change to a fleet of 3 domains with 4 nodes
/// each.
void disturb(FakeFleet &Fleet, std::uint16_t Step) {
  const std::size_t Node = (Step / 16) % Fleet.Nodes.size();
  const std::size_t Domain = (Step / 16) % 3;
  switch (Step % 14) {
  case 0:
  case 1:
    Fleet.publish();
    break;
  case 2:
    Fleet.publish(BadText);
    break;
  case 3:
    Fleet.publishConflict();
    break;
  case 4:
    Fleet.setSourceLag(1 + Step / 16 % 4);
    break;
  case 5:
    Fleet.setSourceLag(0);
    break;
  case 6:
    Fleet.SourceDown = !Fleet.SourceDown;
    break;
  case 7:
    Fleet.restart(Node);
    break;
  case 8:
    Fleet.stop(Node);
    break;
  case 9:
    Fleet.pause(Node);
    break;
  case 10:
    Fleet.cut(Domain, true);
    break;
  case 11:
    Fleet.cut(Domain, false);
    break;
  case 12:
    Fleet.Faults.Loss = 0.3;
    Fleet.Faults.Duplication = 0.3;
    Fleet.Faults.MaxDelayMs = 800;
    break;
  default:
    Fleet.run(5000);
  }
}

void clearAllFaults(FakeFleet &Fleet) {
  Fleet.SourceDown = false;
  Fleet.setSourceLag(0);
  Fleet.Faults = FakeFaults();
  for (std::size_t D = 0; D < 3; ++D)
    Fleet.cut(D, false);
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I) {
    if (!Fleet.Nodes[I]->Core)
      Fleet.start(I);
    if (Fleet.Nodes[I]->Paused)
      Fleet.resume(I);
  }
}

} // namespace

TEST_GROUP(ControlCore){};

// Checks the guarantees that a single node can break: no rollback, no invalid
// or partial version in force, and convergence once all faults are cleared.
TEST(ControlCore, NeverGoesBackAndConvergesAfterRandomFaults) {
  checkProperty("versions only grow",
                [](const std::vector<std::uint16_t> &Steps) {
                  FakeFleet Fleet(3, 4, 7);
                  Fleet.publish();
                  Fleet.run(8000);
                  for (std::uint16_t Step : Steps) {
                    disturb(Fleet, Step);
                    Fleet.run(700);
                    RC_ASSERT(Fleet.Violation.empty());
                  }
                  clearAllFaults(Fleet);
                  const Version Last = Fleet.publish();

                  const int Took = Fleet.runUntilInForce(Last, 60 * 1000);

                  RC_ASSERT(Fleet.Violation.empty());
                  RC_ASSERT(Took >= 0);
                });
}

TEST(ControlCore, BringsVersionIntoForceEverywhereWithinSeconds) {
  FakeFleet Fleet(5, 20, 1);
  Fleet.publish();
  Fleet.run(10 * 1000);

  const Version Next = Fleet.publish();
  const int Took = Fleet.runUntilInForce(Next, 15 * 1000);

  CHECK_TRUE(Took >= 0);
  CHECK_TRUE(Took < 5000);
}

TEST(ControlCore, NumberOfReadsIsIndependentOfFleetSize) {
  FakeFleet Small(3, 4, 1);
  FakeFleet Large(3, 40, 1);
  Small.publish();
  Large.publish();
  Small.run(15 * 1000);
  Large.run(15 * 1000);
  Small.SourceReads = 0;
  Large.SourceReads = 0;

  Small.run(10 * 1000);
  Large.run(10 * 1000);

  LONGS_EQUAL(Small.SourceReads, Large.SourceReads);
}

TEST(ControlCore, RestartedNodeStartsWithTheNewestVersionOfItsPeers) {
  FakeFleet Fleet(3, 4, 3);
  Fleet.publish();
  const Version Newest = Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.setSourceLag(1);

  for (std::size_t I = 0; I < Fleet.Nodes.size() - 1; ++I) {
    Fleet.restart(I);
    Fleet.run(3000);
    CHECK_EQUAL(1, Fleet.Nodes[I]->InForce.size());
    CHECK_TRUE(Newest == Fleet.Nodes[I]->InForce.front());
  }
}

// When every process restarts at once, the newest version is lost;
// VersionKeeper.h states what is guaranteed then.
TEST(ControlCore, FullyRestartedFleetAcceptsStaleSourceAndMovesForward) {
  FakeFleet Fleet(3, 4, 3);
  const Version Old = Fleet.publish();
  const Version Newest = Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.setSourceLag(1);

  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    Fleet.restart(I);
  CHECK_TRUE(Fleet.runUntilInForce(Old, 30 * 1000) >= 0);
  Fleet.setSourceLag(0);
  CHECK_TRUE(Fleet.runUntilInForce(Newest, 15 * 1000) >= 0);

  STRCMP_EQUAL("", Fleet.Violation.c_str());
}

TEST(ControlCore, NewestVersionSurvivesRestartOfAllNodesButOne) {
  FakeFleet Fleet(3, 4, 3);
  Fleet.publish();
  const Version Newest = Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.setSourceLag(1);

  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    if (I != 5)
      Fleet.restart(I);

  CHECK_TRUE(Fleet.runUntilInForce(Newest, 30 * 1000) >= 0);
}

TEST(ControlCore, KeepsLastValidVersionAndSpreadsNoInvalidOne) {
  FakeFleet Fleet(3, 4, 4);
  const Version Good = Fleet.publish();
  Fleet.run(10 * 1000);

  Fleet.publish(BadText);
  Fleet.run(10 * 1000);

  CHECK_TRUE(Fleet.allHave(Good));
  std::size_t Refusers = 0;
  for (const auto &Node : Fleet.Nodes)
    if (Node->Core->status().Counts.VersionsRefused > 0)
      ++Refusers;
  CHECK_TRUE(Refusers >= 1 && Refusers <= 6); // Only the readers.
  CHECK_TRUE(Fleet.runUntilInForce(Fleet.publish(), 15 * 1000) >= 0);
}

TEST(ControlCore, KeepsVersionInIsolatedDomainAndConvergesAfterwards) {
  FakeFleet Fleet(4, 5, 5);
  const Version Before = Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.cut(1, true);
  // Keeps the isolated domain from reading new versions.
  Fleet.SourceDown = true;
  Fleet.run(60 * 1000);
  for (std::size_t I = 5; I < 10; ++I)
    CHECK_TRUE(Fleet.Nodes[I]->Core->inForce() == Before);
  CHECK_EQUAL(15, healthCount(Fleet, 5, MemberHealth::Dead));

  Fleet.cut(1, false);
  Fleet.SourceDown = false;
  CHECK_TRUE(Fleet.runUntilInForce(Fleet.publish(), 20 * 1000) >= 0);
  Fleet.run(40 * 1000);

  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    CHECK_EQUAL(20, healthCount(Fleet, I, MemberHealth::Alive));
}

TEST(ControlCore, SpreadsVersionFromTheOnlyDomainWithReaders) {
  FakeFleet Fleet(3, 4, 6, [](ControlSettings &Settings) {
    if (Settings.Self.Domain != "domain-2")
      Settings.ReadersPerDomain = 0;
  });

  const Version Published = Fleet.publish();

  CHECK_TRUE(Fleet.runUntilInForce(Published, 30 * 1000) >= 0);
}

TEST(ControlCore, SpreadsDrainingTargetAndDeadNodeWithinSeconds) {
  FakeFleet Fleet(3, 20, 8);
  Fleet.publish();
  Fleet.run(15 * 1000);
  for (auto &Node : Fleet.Nodes)
    Node->Core->setOwnState(TargetState::Ready);
  Fleet.run(15 * 1000);

  Fleet.Nodes[7]->Core->setOwnState(TargetState::Draining);
  Fleet.Nodes[8]->Core->leave();
  Fleet.stop(9);
  Fleet.run(3000);

  for (std::size_t I = 20; I < Fleet.Nodes.size(); ++I) {
    CHECK_TRUE(TargetState::Draining == stateSeenBy(Fleet, I, 7));
    CHECK_TRUE(TargetState::Down == stateSeenBy(Fleet, I, 8));
  }
  Fleet.run(20 * 1000);
  for (std::size_t I = 20; I < Fleet.Nodes.size(); ++I) {
    CHECK_TRUE(TargetState::Down == stateSeenBy(Fleet, I, 9));
    CHECK_TRUE(TargetState::Ready == stateSeenBy(Fleet, I, 3));
  }
}

TEST(ControlCore, MarksViewStaleAfterPauseUntilCaughtUp) {
  FakeFleet Fleet(3, 4, 9);
  Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.pause(2);
  Fleet.run(30 * 1000);
  const Version Missed = Fleet.publish();
  Fleet.run(5 * 1000);

  Fleet.resume(2);
  while (Fleet.Nodes[2]->ViewCurrent.back())
    Fleet.run(10);
  CHECK_TRUE(ControlPhase::CatchingUp == Fleet.Nodes[2]->Core->phase());
  Fleet.run(1000);

  CHECK_TRUE(ControlPhase::Current == Fleet.Nodes[2]->Core->phase());
  CHECK_TRUE(Fleet.Nodes[2]->Core->inForce() == Missed);
  CHECK_TRUE(Fleet.Nodes[2]->ViewCurrent ==
             std::vector<bool>({true, false, true}));
}

TEST(ControlCore, ConvergesOnOneOfTwoContentsUnderOneRevision) {
  FakeFleet Fleet(3, 4, 10);
  const Version First = Fleet.publish();
  Fleet.run(10 * 1000);

  const Version Second = Fleet.publishConflict();
  Fleet.run(20 * 1000);

  CHECK_TRUE(Fleet.allHave(std::max(First, Second)));
}

TEST(ControlCore, TracksWhenEveryDeclaredSlotHasAVersion) {
  FakeFleet Fleet(3, 8, 11);
  Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.stop(4);
  const Version Next = Fleet.publish();
  Fleet.run(15 * 1000);
  const VersionSpread &Spread = Fleet.Nodes[20]->Core->spread();
  CHECK_FALSE(Spread.hasReachedAllSlots(Next));
  CHECK_FALSE(Spread.slotVersion("domain-0", 4) == Next);
  CHECK_TRUE(Spread.slotVersion("domain-0", 5) == Next);

  Fleet.start(4);
  Fleet.run(15 * 1000);

  for (const auto &Node : Fleet.Nodes)
    CHECK_TRUE(Node->Core->spread().hasReachedAllSlots(Next));
}

TEST(ControlCore, TreatsSlotAsVacantOnlyOnReportOfItsOwnDomain) {
  constexpr int EnoughMs = 60 * 1000;
  FakeFleet Fleet(3, 8, 12);
  Fleet.publish();
  Fleet.run(10 * 1000);
  Fleet.stop(4);
  Fleet.cut(1, true);

  const Version Next = Fleet.publish();
  Fleet.run(EnoughMs);

  const VersionSpread &Spread = Fleet.Nodes[20]->Core->spread();
  const std::vector<std::uint32_t> None;
  CHECK_TRUE(Spread.undecidedSlots("domain-0") == None);
  CHECK_EQUAL(8U, Spread.undecidedSlots("domain-1").size());
  CHECK_FALSE(Spread.hasReachedAllSlots(Next));
  Fleet.cut(1, false);
  Fleet.run(EnoughMs);
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    if (I != 4)
      CHECK_TRUE(Fleet.Nodes[I]->Core->spread().hasReachedAllSlots(Next));
}

TEST(ControlCore, PausedNodeThatReadsTheSourceDoesNotWaitForPeers) {
  const auto ReadingFleet = makeReadingFleet(2, 1);
  FakeFleet &Fleet = *ReadingFleet;
  Fleet.cut(0, true);
  Fleet.pause(0);
  Fleet.run(6000);
  const Version Missed = Fleet.publish("second");

  Fleet.resume(0);
  Fleet.run(1500);

  CHECK_TRUE(Fleet.Nodes[0]->Core->inForce() == Missed);
}
