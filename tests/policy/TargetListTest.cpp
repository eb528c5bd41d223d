#include "policy/TargetList.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

ListedInstance row(const std::string &Id, const std::string &Ip,
                   const std::string &Service = "queue",
                   ListedState State = ListedState::Live,
                   std::uint64_t Revision = 1) {
  ListedInstance Row;
  Row.Name = Ip;
  Row.Service = Service;
  Row.State = State;
  Row.TargetId = Id;
  Row.TargetAddress = Ip + ":80";
  Row.Revision = Revision;
  return Row;
}

} // namespace

TEST_GROUP(TargetList) { TargetList List; };

TEST(TargetList, TakesAVanishedEntryForGone) {
  List.put(row("i-1", "10.0.0.1"));

  List.remove("i-1", TimeMs(100));

  LONGS_EQUAL(0, List.list(1).Instances.size());
}

// Entries lapse while the store is away; their targets go on.
TEST(TargetList, KeepsEntriesThatLapsedAroundAnOutageUntilTheyHadTimeToReturn) {
  List.put(row("lives", "10.0.0.1"));
  List.put(row("died", "10.0.0.2"));
  List.onStoreLost();
  List.onStoreRecovered(TimeMs(10'000));
  List.replaceAll({}, TimeMs(10'050));
  LONGS_EQUAL(2, List.list(1).Instances.size());

  List.put(row("lives", "10.0.0.1"));
  List.expire(TimeMs(10'000) + RelistTime);

  LONGS_EQUAL(1, List.list(2).Instances.size());
  STRCMP_EQUAL("lives", List.list(2).Instances[0].TargetId.c_str());
}

TEST(TargetList, TellsALeavingTargetFromItsSuccessorOnTheSameInstance) {
  List.put(row("old", "10.0.0.1", "queue", ListedState::Leaving, 9));
  List.put(row("new", "10.0.0.1", "queue", ListedState::Live, 7));

  const InstanceList All = List.list(1);

  LONGS_EQUAL(1, All.Instances.size());
  STRCMP_EQUAL("new", All.Instances[0].TargetId.c_str());
  STRCMP_EQUAL("new", List.find("10.0.0.1:80", "queue")->TargetId.c_str());
}

// The address of a target that is gone may belong to another service now.
TEST(TargetList, FindsNoTargetOfAnotherServiceAtAReusedAddress) {
  List.put(row("i-2", "10.0.0.1", "till"));

  CHECK_FALSE(List.find("10.0.0.1:80", "queue").has_value());
}

TEST(TargetList, SaysOnceThatSomethingHasChanged) {
  List.put(row("i-1", "10.0.0.1"));
  CHECK_TRUE(List.takeChanged());
  List.put(row("i-1", "10.0.0.1"));

  CHECK_FALSE(List.takeChanged());
}
