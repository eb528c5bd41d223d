#include "sources/StoreReplica.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

StoreChange target(const std::string &Id, std::uint64_t Revision,
                   bool Removed = false) {
  return {StoreSubject::Target,   "t/" + Id, Id,
          Removed ? "" : "value", Revision,  Removed};
}

ReplicaUpdate update(ReplicaUpdate::Extent Kind, std::vector<StoreChange> Items,
                     std::uint64_t Revision) {
  return {Kind, {std::move(Items), Revision}, std::nullopt};
}

} // namespace

TEST_GROUP(StoreReplica) {
  StoreReplica Replica;

  void setup() override {
    Replica.update(update(ReplicaUpdate::Extent::AllItems,
                          {target("a", 4), target("b", 5)}, 10));
  }
};

TEST(StoreReplica, ReturnsEachItemOnceInItsNewestState) {
  Replica.update(update(ReplicaUpdate::Extent::Changes,
                        {target("a", 11), target("a", 12)}, 12));

  const auto Changes = Replica.changesAfter(10);

  LONGS_EQUAL(1, Changes->Changes.size());
  LONGS_EQUAL(12, Changes->Changes[0].Revision);
  LONGS_EQUAL(12, Changes->Revision);
}

TEST(StoreReplica, KnowsNoRemovalsFromBeforeItsFirstReading) {
  CHECK(!Replica.changesAfter(9).has_value());
  CHECK(Replica.changesAfter(10).has_value());
}

TEST(StoreReplica, ReportsWhatAFullReadingNoLongerHoldsAsRemoved) {
  Replica.update(update(ReplicaUpdate::Extent::AllItems, {target("a", 4)}, 20));

  const auto Changes = Replica.changesAfter(10);

  LONGS_EQUAL(1, Changes->Changes.size());
  CHECK(Changes->Changes[0].Removed);
  STRCMP_EQUAL("b", Changes->Changes[0].Name.c_str());
  LONGS_EQUAL(1, Replica.whole().Changes.size());
}

// A watch from an older revision returns what happened before the reading.
TEST(StoreReplica, ReadingOfTheTargetsIsNotUndoneByEarlierChanges) {
  Replica.update(
      update(ReplicaUpdate::Extent::AllTargets, {target("a", 4)}, 20));
  LONGS_EQUAL(10, Replica.revision());

  Replica.update(update(ReplicaUpdate::Extent::Changes, {target("b", 15)}, 20));

  LONGS_EQUAL(1, Replica.whole().Changes.size());
}

TEST(StoreReplica, ForgetsTheOldestRemovals) {
  for (std::uint64_t I = 0; I <= MaxRemovedItems; ++I)
    Replica.update(update(ReplicaUpdate::Extent::Changes,
                          {target(std::to_string(I), 11 + I, true)}, 11 + I));

  CHECK(!Replica.changesAfter(10).has_value());
  const auto Changes = Replica.changesAfter(Replica.revision() - 1);
  LONGS_EQUAL(1, Changes->Changes.size());
}
