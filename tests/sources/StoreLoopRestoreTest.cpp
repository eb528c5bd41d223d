// Tests of a loop whose store comes back from an older copy.

#include "sources/StoreLoopFixture.h"
#include "sources/StoreRevision.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr std::uint64_t Before = 4; ///< Epoch in which the loop starts.
constexpr std::uint64_t After = 5;
constexpr DurationMs Settled{3000};

} // namespace

TEST_GROUP_BASE(StoreLoopRestore, StoreLoopFixture){
    void setup() override{StoreLoopFixture::setup();
Store.Revision = storeNumber(Before, 10);
Store.Intent = {
    change(StoreSubject::Configuration, "config", "7 new",
           storeNumber(Before, 4)),
    change(StoreSubject::DomainOut, "east", "", storeNumber(Before, 9))};
Store.Targets = {
    change(StoreSubject::Target, "i-1", "10.0.0.1", storeNumber(Before, 5))};
step(3);
}

/// Replaces the loop by one that knows nothing of the store.
void restartLoop() {
  StoreLoopFixture::setup();
  Proofs.clear();
}

/// The store lists its items again under the revisions of a copy.
void restore(std::uint64_t Revision = 8) {
  Store.HistoryFailure = ResultCode::StoreHistoryGone;
  Store.Revision = storeNumber(After, Revision);
  for (auto *Items : {&Store.Intent, &Store.Targets})
    for (StoreChange &Item : *Items)
      Item.Revision = storeNumber(After, storeRevision(Item.Revision));
}

/// Lets the loop read the restored store; its history goes on from there.
void restoreAndRead() {
  restore();
  step(4);
  Store.HistoryFailure = ResultCode::Ok;
}

void runFor(DurationMs Span) {
  const TimeMs End = Store.Now + Span;
  while (Store.Now < End)
    step();
}

bool isOut(const std::string &Name) const {
  return decodeStoreBundle(Bundles.back())->DomainsOut.contains(Name);
}

std::size_t count(EventId Id) const {
  return static_cast<std::size_t>(
      std::count_if(Events.begin(), Events.end(),
                    [Id](const Event &Each) { return Each.Id == Id; }));
}
}
;

TEST(StoreLoopRestore, FollowsTheStoreWhoseRevisionsHaveGoneBack) {
  restoreAndRead();
  queueChange(change(StoreSubject::Configuration, "config", "8 newest",
                     storeNumber(After, 9)));
  step(2);

  STRCMP_EQUAL("8 newest", configuration().c_str());
  LONGS_EQUAL(8, Bundles.back().Number);
  LONGS_EQUAL(1, count(EventId::StoreRestored));
}

TEST(StoreLoopRestore, KeepsTheConfigurationInForceAgainstTheOlderOneOfACopy) {
  const std::size_t Proven = Proofs.size();
  Store.Intent.front().Value = "6 old";
  restore();
  runFor(Settled * 2);

  STRCMP_EQUAL("7 new", configuration().c_str());
  LONGS_EQUAL(7, Bundles.back().Number);
  LONGS_EQUAL(Proven, Proofs.size());
  LONGS_EQUAL(1, count(EventId::ConfigurationOutdated));
}

TEST(StoreLoopRestore, TakesTheConfigurationThatIsWrittenAgain) {
  Store.Intent.front().Value = "6 old";
  restoreAndRead();
  const std::size_t Proven = Proofs.size();
  queueChange(change(StoreSubject::Configuration, "config", "7 new",
                     storeNumber(After, 9)));
  runFor(Settled * 2);

  STRCMP_EQUAL("7 new", configuration().c_str());
  CHECK(Proofs.size() > Proven);
}

// Its number may be that of a configuration that cannot be used.
TEST(StoreLoopRestore, SmallerNumberOfTheSameEpochIsReported) {
  queueChange(change(StoreSubject::Configuration, "config", "6 odd",
                     storeNumber(Before, 11)));
  step(2);

  STRCMP_EQUAL("6 odd", configuration().c_str());
  LONGS_EQUAL(6, Bundles.back().Number);
  LONGS_EQUAL(1, count(EventId::ConfigurationOutdated));
}

TEST(StoreLoopRestore, CopyWithoutAConfigurationEndsNone) {
  Store.Intent.clear();
  const std::size_t Proven = Proofs.size();
  restore();
  runFor(Settled * 2);

  STRCMP_EQUAL("7 new", configuration().c_str());
  LONGS_EQUAL(Proven, Proofs.size());
}

// A configuration that the copy lacks may have withdrawn a key.
TEST(StoreLoopRestore, CopyProvesNothingUntilTheStoreHasSettled) {
  const std::size_t Proven = Proofs.size();
  restore();
  const TimeMs RestoredAt = Store.Now;
  runFor(Settled * 2);

  CHECK(Proofs.size() > Proven);
  CHECK(Proofs[Proven].first >= RestoredAt + Settled);
}

// A node that starts after the restore knows no earlier epoch, and the keys of
// the copy may have been withdrawn.
TEST(StoreLoopRestore, CopyProvesNothingToANodeThatStartsBeforeItHasSettled) {
  restartLoop();
  const TimeMs StartedAt = Store.Now;
  restore();
  runFor(Settled * 2);

  CHECK(!Proofs.empty());
  CHECK(Proofs.front().first >= StartedAt + Settled);
}

TEST(StoreLoopRestore, DomainOutThatACopyLacksStaysOutUntilTheStoreHasSettled) {
  Store.Intent.pop_back();
  restore();
  const TimeMs RestoredAt = Store.Now;
  step(4);
  CHECK(isOut("east"));
  const IntentBundle Held = Bundles.back();

  while (isOut("east") && Store.Now < RestoredAt + Settled * 2)
    step();

  CHECK_FALSE(isOut("east"));
  CHECK(Store.Now >= RestoredAt + Settled);
  CHECK(Bundles.back().version() > Held.version());
}

TEST(StoreLoopRestore, DomainOutThatIsWrittenAgainStaysOut) {
  Store.Intent.pop_back();
  restoreAndRead();
  queueChange(
      change(StoreSubject::DomainOut, "east", "", storeNumber(After, 9)));
  runFor(Settled * 2);

  CHECK(isOut("east"));
}

TEST(StoreLoopRestore, DomainOutEndsOnceItIsRemovedAfterTheRestore) {
  restoreAndRead();
  queueChange(
      change(StoreSubject::DomainOut, "east", "", storeNumber(After, 9), true));
  step(2);

  CHECK_FALSE(isOut("east"));
}

TEST(StoreLoopRestore, TargetThatACopyLacksStaysListedUntilItMayHaveWritten) {
  Store.Targets.push_back(
      change(StoreSubject::Target, "i-2", "10.0.0.2", storeNumber(Before, 12)));
  queueChange(Store.Targets.back());
  step(2);
  LONGS_EQUAL(2, Lists.back().Instances.size());
  Store.Targets.pop_back();
  restoreAndRead();
  LONGS_EQUAL(2, Lists.back().Instances.size());

  runFor(RewriteTime);

  LONGS_EQUAL(1, Lists.back().Instances.size());
}

TEST(StoreLoopRestore, FirstEpochThatAProcessReadsIsNoRestore) {
  LONGS_EQUAL(0, count(EventId::StoreRestored));
}

// A start would otherwise always cost the time after a restore.
TEST(StoreLoopRestore, StoreThatWasNeverRestoredProvesAtOnce) {
  restartLoop();
  const TimeMs StartedAt = Store.Now;
  Store.Revision = storeNumber(FirstEpoch, 10);
  Store.Intent = {change(StoreSubject::Configuration, "config", "7 new",
                         storeNumber(FirstEpoch, 4))};
  step(3);

  CHECK_FALSE(Proofs.empty());
  CHECK(Proofs.front().first < StartedAt + Settled);
}
