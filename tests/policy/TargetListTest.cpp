#include "policy/TargetList.h"

#include <algorithm>

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

TEST_GROUP(TargetList) {
  TargetList List;

  /// The store does not answer for seconds; the last call fails.
  void loseStore(TimeMs LastSentAt) {
    List.onStoreLost(LastSentAt);
    List.onCallFailed(LastSentAt);
  }
};

TEST(TargetList, DropsARemovedEntry) {
  List.put(row("i-1", "10.0.0.1"));

  List.remove("i-1", TimeMs(100));

  LONGS_EQUAL(0, List.list(1).Instances.size());
}

// Entries expire in the store during an outage although their targets are
// alive.
TEST(TargetList, RetainsEntriesRemovedAroundAnOutageForTheRetentionTime) {
  List.put(row("alive", "10.0.0.1"));
  List.put(row("dead", "10.0.0.2"));
  loseStore(TimeMs(10'000));
  List.onCallAnswered(TimeMs(10'040), TimeMs(10'050));
  List.replaceAll({}, TimeMs(10'050));
  LONGS_EQUAL(2, List.list(1).Instances.size());

  List.put(row("alive", "10.0.0.1"));
  List.expire(TimeMs(10'000) + RetentionTime);

  LONGS_EQUAL(1, List.list(2).Instances.size());
  STRCMP_EQUAL("alive", List.list(2).Instances[0].TargetId.c_str());
}

// The store may have rejected this node only: what others have read since must
// count for more.
TEST(TargetList, MarksARetainedEntryAsAssumedUntilTheRetentionEnds) {
  List.put(row("i-1", "10.0.0.1"));
  loseStore(TimeMs(10'000));
  List.onCallAnswered(TimeMs(10'040), TimeMs(10'050));
  CHECK_FALSE(List.list(1).Instances[0].AssumedUntil.has_value());

  List.remove("i-1", TimeMs(10'100));

  CHECK(TimeMs(10'000) + RetentionTime ==
        *List.list(2).Instances[0].AssumedUntil);
  CHECK(TimeMs(10'000) + RetentionTime == List.nextExpiry());
  List.put(row("i-1", "10.0.0.1"));
  CHECK_FALSE(List.list(3).Instances[0].AssumedUntil.has_value());
}

// Targets cannot write their entries while the store is out again.
TEST(TargetList, ExtendsTheRetentionWhenTheStoreIsLostAgain) {
  List.put(row("i-1", "10.0.0.1"));
  loseStore(TimeMs(10'000));
  List.onCallAnswered(TimeMs(10'040), TimeMs(10'050));
  List.remove("i-1", TimeMs(10'100));

  List.onStoreLost(TimeMs(10'200));

  List.expire(TimeMs(10'000) + RetentionTime);
  LONGS_EQUAL(1, List.list(1).Instances.size());
  loseStore(TimeMs(20'000));
  List.onCallAnswered(TimeMs(20'040), TimeMs(20'050));
  List.expire(TimeMs(20'000) + RetentionTime);
  LONGS_EQUAL(0, List.list(2).Instances.size());
}

// The store answers some calls with 429, so that it counts as lost again and
// again, but too shortly for an entry to expire.
TEST(TargetList, RemovalAroundAShortOutageMeansThatTheTargetIsGone) {
  List.put(row("i-1", "10.0.0.1"));
  List.onCallAnswered(TimeMs(9'990), TimeMs(10'000));
  List.onCallFailed(TimeMs(10'100));
  List.onStoreLost(TimeMs(10'150));

  List.onCallAnswered(TimeMs(10'000) + MinLapseTime - DurationMs(1),
                      TimeMs(12'000));
  List.remove("i-1", TimeMs(12'000));

  LONGS_EQUAL(0, List.list(1).Instances.size());
}

// The call during which the retention ended is the one that failed.
TEST(TargetList, DoesNotRetainAgainWhatEndedBeforeTheStoreWasLost) {
  List.put(row("i-1", "10.0.0.1"));
  loseStore(TimeMs(10'000));
  List.onCallAnswered(TimeMs(10'040), TimeMs(10'050));
  List.remove("i-1", TimeMs(10'100));

  List.onStoreLost(TimeMs(10'000) + RetentionTime);

  LONGS_EQUAL(0, List.list(1).Instances.size());
}

// One failed call of a silent store may take as long as entries need to expire.
TEST(TargetList, RetainsAnEntryThatIsRemovedAfterOneLongFailure) {
  List.put(row("i-1", "10.0.0.1"));
  List.onCallAnswered(TimeMs(9'990), TimeMs(10'000));
  List.onCallFailed(TimeMs(10'000));

  List.onCallAnswered(TimeMs(10'000) + MinLapseTime, TimeMs(12'010));
  List.remove("i-1", TimeMs(12'020));

  LONGS_EQUAL(1, List.list(1).Instances.size());
}

TEST(TargetList, PrefersAnEntryThatExistsToARetainedOneOnTheSameInstance) {
  List.put(row("old", "10.0.0.1", "queue", ListedState::Live, 9));
  List.put(row("new", "10.0.0.1", "queue", ListedState::Leaving, 7));
  List.onStoreLost(TimeMs(50));

  List.remove("old", TimeMs(100));

  STRCMP_EQUAL("new", List.list(1).Instances[0].TargetId.c_str());
}

TEST(TargetList, PrefersTheLiveTargetToALeavingOneOnTheSameInstance) {
  List.put(row("old", "10.0.0.1", "queue", ListedState::Leaving, 9));
  List.put(row("new", "10.0.0.1", "queue", ListedState::Live, 7));

  const InstanceList All = List.list(1);

  LONGS_EQUAL(1, All.Instances.size());
  STRCMP_EQUAL("new", All.Instances[0].TargetId.c_str());
  STRCMP_EQUAL("new", List.find("10.0.0.1:80", "queue")->TargetId.c_str());
}

// The store may carry out a write seconds late, so that the entry of an earlier
// start has the greater revision.
TEST(TargetList, PrefersTheLaterStartOnTheSameInstance) {
  ListedInstance Old = row("old", "10.0.0.1", "queue", ListedState::Live, 9);
  Old.StartedAtMs = 1000;
  ListedInstance New = row("new", "10.0.0.1", "queue", ListedState::Live, 7);
  New.StartedAtMs = 2000;
  List.put(New);
  List.put(Old);

  STRCMP_EQUAL("new", List.find("10.0.0.1:80", "queue")->TargetId.c_str());

  New.State = ListedState::Leaving;
  List.put(New);
  CHECK(ListedState::Leaving == List.list(1).Instances[0].State);
}

// The address of a target that is gone may be reused by another service.
TEST(TargetList, FindsNoTargetOfAnotherServiceAtAReusedAddress) {
  List.put(row("i-2", "10.0.0.1", "till"));

  CHECK_FALSE(List.find("10.0.0.1:80", "queue").has_value());
}

TEST(TargetList, ReportsEachChangeOnce) {
  List.put(row("i-1", "10.0.0.1"));
  CHECK_TRUE(List.takeChanged());
  List.put(row("i-1", "10.0.0.1"));

  CHECK_FALSE(List.takeChanged());
}

// A store that was restored lists targets as they were when the copy was taken.
TEST_GROUP(TargetListRestore) {
  static constexpr TimeMs RestoredAt{50'000};
  static constexpr std::uint64_t CopyRevision = 1000;

  TargetList List;

  void setup() override {
    List.put(row("i-1", "10.0.0.1"));
    List.put(row("i-2", "10.0.0.2"));
    List.onCallAnswered(RestoredAt - DurationMs(200),
                        RestoredAt - DurationMs(100));
  }

  /// Applies the listing of a copy with both targets as live.
  void restore() {
    List.onStoreRestored(CopyRevision, RestoredAt);
    List.replaceAll({copied("i-1", "10.0.0.1"), copied("i-2", "10.0.0.2")},
                    RestoredAt);
  }

  static ListedInstance copied(const std::string &Id, const std::string &Ip) {
    return row(Id, Ip, "queue", ListedState::Live, CopyRevision - 10);
  }

  std::size_t liveCount() const {
    const InstanceList Listed = List.list(1);
    return static_cast<std::size_t>(std::count_if(
        Listed.Instances.begin(), Listed.Instances.end(),
        [](const auto &Row) { return Row.State == ListedState::Live; }));
  }
};

TEST(TargetListRestore, LeavingTargetStaysLeavingAlthoughTheCopyListsItAsLive) {
  List.put(row("i-1", "10.0.0.1", "queue", ListedState::Leaving, 9));

  restore();

  LONGS_EQUAL(1, liveCount());
  LONGS_EQUAL(2, List.list(1).Instances.size());
}

TEST(TargetListRestore, RemovedTargetStaysGoneAlthoughTheCopyListsIt) {
  List.remove("i-1", RestoredAt - DurationMs(1000));

  restore();

  LONGS_EQUAL(1, List.list(1).Instances.size());
}

TEST(TargetListRestore, TargetThatWritesItsEntryAgainIsLiveAtOnce) {
  List.put(row("i-1", "10.0.0.1", "queue", ListedState::Leaving, 9));
  restore();

  List.put(
      row("i-1", "10.0.0.1", "queue", ListedState::Live, CopyRevision + 1));

  LONGS_EQUAL(2, liveCount());
}

TEST(TargetListRestore, NewStartOfATargetIsLiveAtOnce) {
  List.remove("i-1", RestoredAt - DurationMs(1000));
  List.onStoreRestored(CopyRevision, RestoredAt);
  ListedInstance NewStart = copied("i-1", "10.0.0.1");
  NewStart.StartedAtMs = 1;

  List.put(NewStart);

  LONGS_EQUAL(2, liveCount());
}

TEST(TargetListRestore, EntryThatTheStoreStillHasAfterTheHoldTimeIsUsed) {
  List.remove("i-1", RestoredAt - DurationMs(1000));
  restore();
  CHECK(List.nextExpiry() == RestoredAt + CopyHoldTime);

  List.expire(RestoredAt + CopyHoldTime);

  LONGS_EQUAL(2, liveCount());
}

TEST(TargetListRestore, EntryThatTheStoreDropsInTheHoldTimeIsNotUsed) {
  List.remove("i-1", RestoredAt - DurationMs(1000));
  restore();
  List.remove("i-1", RestoredAt + DurationMs(4000));

  List.expire(RestoredAt + CopyHoldTime);

  LONGS_EQUAL(1, liveCount());
}

TEST(TargetListRestore, TargetThatTheCopyLacksIsRetainedUntilItMayHaveWritten) {
  List.onStoreRestored(CopyRevision, RestoredAt);
  List.replaceAll({copied("i-1", "10.0.0.1")}, RestoredAt);
  List.onCallAnswered(RestoredAt + DurationMs(100),
                      RestoredAt + DurationMs(110));
  LONGS_EQUAL(2, List.list(1).Instances.size());

  List.expire(RestoredAt + RewriteTime);

  LONGS_EQUAL(1, List.list(1).Instances.size());
}
