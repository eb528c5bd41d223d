#include "nodes/ControlCore.h"

#include "nodes/FakeFleet.h"

#include <memory>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// The platform's complete list of all nodes, live, at a revision.
InstanceList listOf(const FakeFleet &Fleet, std::uint64_t Revision) {
  InstanceList List;
  List.Revision = Revision;
  List.Complete = true;
  for (const auto &Node : Fleet.Nodes) {
    const Instance &Self = Node->Settings.Self;
    ListedInstance &Row = List.Instances.emplace_back();
    Row.Name = Self.Name;
    Row.Domain = Self.Domain;
    Row.Service = Self.Service;
    Row.Slot = Self.Slot;
    Row.PeerAddress = Self.PeerAddress;
  }
  return List;
}

/// A fleet in which every node has read \ref listOf at revision 5.
std::unique_ptr<FakeFleet> makeListedFleet(std::size_t Domains,
                                           std::size_t NodesPerDomain) {
  auto Fleet = makeReadingFleet(Domains, NodesPerDomain);
  const InstanceList List = listOf(*Fleet, 5);
  for (auto &Node : Fleet->Nodes)
    Node->Core->offerInstances(List);
  Fleet->run(2000);
  return Fleet;
}

} // namespace

TEST_GROUP(ControlCoreListing){};

// The platform rejects the node beside the target that leaves; the others read
// that it does.
TEST(ControlCoreListing, NodeOfALeavingTargetIsToldAtOnceByThoseThatReadIt) {
  const auto ListedFleet = makeListedFleet(3, 20);
  FakeFleet &Fleet = *ListedFleet;
  InstanceList Leaving = listOf(Fleet, 6);
  Leaving.Instances[7].State = ListedState::Leaving;

  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    if (I != 7)
      Fleet.Nodes[I]->Core->offerInstances(Leaving);
  Fleet.run(200);

  CHECK_TRUE(Fleet.Nodes[7]->OwnListing.Leaving);
  LONGS_EQUAL(6, Fleet.Nodes[7]->OwnListing.ListRevision);
}

// More members leave at once than a node may tell in a second.
TEST(ControlCoreListing, EachNodeOfManyLeavingTargetsIsTold) {
  const auto ListedFleet = makeListedFleet(2, 20);
  FakeFleet &Fleet = *ListedFleet;
  InstanceList Leaving = listOf(Fleet, 6);
  for (std::size_t I = 10; I < Leaving.Instances.size(); ++I)
    Leaving.Instances[I].State = ListedState::Leaving;

  Fleet.Nodes[0]->Core->offerInstances(Leaving);
  Fleet.Nodes[1]->Core->offerInstances(Leaving);
  Fleet.run(2000);

  for (std::size_t I = 10; I < Fleet.Nodes.size(); ++I)
    CHECK_TRUE(Fleet.Nodes[I]->OwnListing.Leaving);
}

// A node that could not read retains a row that the others have seen removed.
TEST(ControlCoreListing, AssumedRowReplacesNothingThatOthersHaveRead) {
  const auto ListedFleet = makeListedFleet(2, 4);
  FakeFleet &Fleet = *ListedFleet;
  InstanceList Without = listOf(Fleet, 6);
  Without.Instances.erase(Without.Instances.begin() + 3);
  for (std::size_t I = 1; I < Fleet.Nodes.size(); ++I)
    Fleet.Nodes[I]->Core->offerInstances(Without);
  Fleet.run(5000);

  InstanceList Retained = listOf(Fleet, 9);
  Retained.Instances[3].Revision = 5;
  Retained.Instances[3].AssumedUntil = Never;
  Fleet.Nodes[0]->Core->offerInstances(Retained);
  Fleet.run(10 * 1000);

  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    CHECK_TRUE(TargetState::Draining == stateSeenBy(Fleet, I, 3));
}

// An entry lapses while its target is alive, and is written again.
TEST(ControlCoreListing, TargetWhoseEntryIsBackIsUsedByNodesThatHaveReadIt) {
  const auto ListedFleet = makeListedFleet(3, 20);
  FakeFleet &Fleet = *ListedFleet;
  Fleet.Nodes[7]->Core->setOwnState(TargetState::Ready);
  Fleet.run(10'000);
  InstanceList Without = listOf(Fleet, 6);
  Without.Instances.erase(Without.Instances.begin() + 7);
  for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
    if (I != 7)
      Fleet.Nodes[I]->Core->offerInstances(Without);
  Fleet.run(1500);
  CHECK(TargetState::Draining == stateSeenBy(Fleet, 0, 7));

  for (auto &Node : Fleet.Nodes)
    Node->Core->offerInstances(listOf(Fleet, 8));
  int Waited = 0;
  const auto UnusedCount = [&Fleet] {
    int Count = 0;
    for (std::size_t I = 0; I < Fleet.Nodes.size(); ++I)
      Count += stateSeenBy(Fleet, I, 7) >= TargetState::Draining ? 1 : 0;
    return Count;
  };
  std::string Course;
  for (; Waited < 20'000 && UnusedCount() > 0; Waited += 10) {
    if (Waited % 500 == 0)
      Course += " " + std::to_string(UnusedCount()) + " at " +
                std::to_string(Waited) + " ms,";
    Fleet.run(10);
  }

  CHECK_TEXT(Waited <= 1000, ("nodes that do not use it:" + Course +
                              " none at " + std::to_string(Waited) + " ms")
                                 .c_str());
}
