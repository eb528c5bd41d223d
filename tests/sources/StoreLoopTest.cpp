#include "sources/StoreLoopFixture.h"

#include <set>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP_BASE(StoreLoop, StoreLoopFixture){};

TEST(StoreLoop, ReadsIntentAndTargetsOnceAndThenWatches) {
  step(3);

  LONGS_EQUAL(1, Bundles.size());
  STRCMP_EQUAL("first", configuration().c_str());
  LONGS_EQUAL(1, Lists.size());
  STRCMP_EQUAL("i-1", LocalTarget->TargetId.c_str());
}

TEST(StoreLoop, ReportsAChangeUnderItsRevision) {
  step(2);
  queueChange(change(StoreSubject::Configuration, "config", "second", 12));

  step();

  STRCMP_EQUAL("second", configuration().c_str());
  LONGS_EQUAL(12, Bundles.back().Revision);
}

TEST(StoreLoop, ReportsHowManyConfigurationsOneAnswerHeld) {
  step(3);
  Events.clear();
  Store.Watches.push_back(
      {StoreChanges{
           {change(StoreSubject::Configuration, "config", "second", 12),
            change(StoreSubject::Configuration, "config", "third", 13)},
           13},
       ResultCode::Ok, ""});

  step();

  LONGS_EQUAL(1, Events.size());
  CHECK(EventId::PlatformVersionRead == Events[0].Id);
  STRCMP_EQUAL("13", Events[0].Fields[0].Value.c_str());
  STRCMP_EQUAL("2", Events[0].Fields[1].Value.c_str());
  STRCMP_EQUAL("third", configuration().c_str());
}

TEST(StoreLoop, AppliesTheWithdrawalAndReturnOfADomain) {
  step(2);
  queueChange(change(StoreSubject::DomainOut, "east", "{}", 12));
  step();
  LONGS_EQUAL(1, decodeStoreBundle(Bundles.back())->DomainsOut.count("east"));
  queueChange(change(StoreSubject::DomainOut, "east", "", 13, true));

  step(2);

  LONGS_EQUAL(0, decodeStoreBundle(Bundles.back())->DomainsOut.size());
  LONGS_EQUAL(13, Bundles.back().Revision);
}

TEST(StoreLoop, WatchesAChangingStoreOncePerPeriod) {
  step(2);
  const TimeMs Begin = Store.Now;
  for (std::uint64_t Revision = 11; Revision <= 15; ++Revision)
    queueChange(
        change(StoreSubject::Configuration, "config", "next", Revision));

  step(5);

  LONGS_EQUAL(0, Store.Watches.size());
  CHECK(Begin + WatchPeriod * 5 == Store.Now);
}

TEST(StoreLoop, KnowsAChangeInLessThanHalfOfTheTimeToApplyIt) {
  constexpr DurationMs ApplyBound{2000};

  CHECK(watchPeriod(ApplyBound) * 2 < ApplyBound);
  CHECK(MinWatchPeriod == watchPeriod(DurationMs(0)));
}

// An answer proves the state at the time when the call was sent, not when the
// answer arrived: a watch may have been without contact in between.
TEST(StoreLoop, ProvesTheIntentAsOfTheTimeWhenTheCallWasSent) {
  step(2);
  const TimeMs Sent = Store.Now;
  Proofs.clear();

  step();

  CHECK(Store.Now >= Sent + WatchWait);
  LONGS_EQUAL(1, Proofs.size());
  CHECK(Sent == Proofs[0].first);
}

// Pages are no snapshot: what the first page held may have changed before the
// last one was requested, and a key may have been withdrawn.
TEST(StoreLoop, ProvesAnIntentOfSeveralPagesAsOfItsFirstPage) {
  Store.Intent.push_back(change(StoreSubject::DomainOut, "east", "{}", 6));
  step();
  Store.PageSize = 1;
  const TimeMs FirstPageSent = Store.Now;
  step();
  Store.Now = Store.Now + DurationMs(700);
  Store.Revision = 11;
  Store.Intent[0] = change(StoreSubject::Configuration, "config", "second", 11);

  step();

  STRCMP_EQUAL("first", configuration().c_str());
  LONGS_EQUAL(1, Proofs.size());
  CHECK(FirstPageSent == Proofs[0].first);
}

TEST(StoreLoop, ProvesNothingWhileTheStoreDoesNotAnswer) {
  step(2);
  Proofs.clear();
  Store.Failure = ResultCode::PlatformUnreachable;

  step(20);

  LONGS_EQUAL(0, Proofs.size());
  CHECK_TRUE(States == std::vector<bool>{false});
  Store.Failure = ResultCode::Ok;
  step(3);
  CHECK_TRUE((States == std::vector<bool>{false, true}));
  CHECK(!Proofs.empty());
}

// Changes may have been missed, so the intent that is read again is reported
// under the store's current revision, which is never below the known one.
TEST(StoreLoop,
     ReadsEverythingAgainAfterALostHistoryWithoutLoweringTheRevision) {
  step(2);
  queueChange(change(StoreSubject::DomainOut, "east", "{}", 12));
  step();
  Store.Watches.push_back({std::nullopt, ResultCode::StoreHistoryGone, ""});
  Store.Revision = 40;

  step(4);

  STRCMP_EQUAL("first", configuration().c_str());
  LONGS_EQUAL(40, Bundles.back().Revision);
  LONGS_EQUAL(0, decodeStoreBundle(Bundles.back())->DomainsOut.size());
}

TEST(StoreLoop, RemovesATargetWhoseEntryBecomesUnreadable) {
  step(2);
  queueChange(change(StoreSubject::Target, "i-1", "", 12));

  step();

  CHECK_FALSE(LocalTarget.has_value());
  LONGS_EQUAL(0, Lists.back().Instances.size());
}

TEST(StoreLoop, DelaysTheNextWatchAfterAChange) {
  step(2);
  queueChange(change(StoreSubject::Configuration, "config", "second", 12));

  CHECK(Loop->step() >= DurationMs(100));
}

TEST(StoreLoop, KnowsTheNewestIntentWhenItsHistoryIsTooMuchForOneAnswer) {
  step(3);
  for (const ResultCode Reason :
       {ResultCode::PlatformTooLarge, ResultCode::PlatformSlow}) {
    const TimeMs ChangedAt = Store.Now;
    Store.HistoryFailure = Reason;
    ++Store.Revision;
    const std::string Newest = "newest-" + std::to_string(Store.Revision);
    Store.Intent = {
        change(StoreSubject::Configuration, "config", Newest, Store.Revision)};

    step(4);

    STRCMP_EQUAL(Newest.c_str(), configuration().c_str());
    CHECK(Proofs.back().first >= ChangedAt);
  }
}

// Nothing is known of the newest configuration: it may have withdrawn keys, so
// it proves nothing, while changes of domains still apply.
TEST(StoreLoop, KeepsTheConfigurationInForceBesideAnUnreadableOne) {
  step(3);
  const std::size_t Reported = Bundles.size();
  Proofs.clear();
  StoreChange Odd = change(StoreSubject::Configuration, "config", "", 12);
  Odd.Unreadable = true;
  queueChange(Odd);
  step(3);
  LONGS_EQUAL(Reported, Bundles.size());
  LONGS_EQUAL(0, Proofs.size());

  queueChange(change(StoreSubject::DomainOut, "east", "{}", 13));
  step();
  STRCMP_EQUAL("first", configuration().c_str());
  LONGS_EQUAL(1, decodeStoreBundle(Bundles.back())->DomainsOut.count("east"));
  LONGS_EQUAL(0, Proofs.size());

  queueChange(change(StoreSubject::Configuration, "config", "second", 14));
  step();
  STRCMP_EQUAL("second", configuration().c_str());
  CHECK_FALSE(Proofs.empty());
}

TEST(StoreLoop, ReportsNoConfigurationWhenAFullReadFindsAnUnreadableOne) {
  Store.Intent[0].Unreadable = true;
  Store.Intent[0].Value.clear();
  step(4);
  LONGS_EQUAL(0, Bundles.size());
  LONGS_EQUAL(1, Lists.back().Instances.size());

  queueChange(change(StoreSubject::Configuration, "config", "second", 12));
  step();

  STRCMP_EQUAL("second", configuration().c_str());
}

TEST(StoreLoop, RemovesATargetWhoseItemIsUnreadableAndKeepsTheOthers) {
  Store.Targets.push_back(change(StoreSubject::Target, "i-2", "10.0.0.2", 6));
  step(3);
  StoreChange Odd = change(StoreSubject::Target, "i-2", "10.0.0.2", 12);
  Odd.Unreadable = true;
  queueChange(Odd);

  step();

  LONGS_EQUAL(1, Lists.back().Instances.size());
  STRCMP_EQUAL("i-1", Lists.back().Instances[0].TargetId.c_str());
}

TEST(StoreLoop, ReportsHowManyUnreadableItemsItLeftOut) {
  step(3);
  Events.clear();
  StoreChanges Read{{change(StoreSubject::Target, "i-odd", "", 12)}, 12};
  Read.Unreadable = 2;
  Store.Revision = 12;
  Store.Watches.push_back({Read, ResultCode::Ok, ""});

  step();

  LONGS_EQUAL(1, Events.size());
  CHECK(EventId::PlatformRowsLeftOut == Events[0].Id);
  CHECK_TRUE(Events[0].Fields[0].Value.starts_with("3 items"));
}

// The same watch would return the same bytes for ever. A store that answers
// every watch with such bytes must not be read without a pause.
TEST(StoreLoop, ReadsEverythingAgainAfterAnUnreadableAnswerToAWatch) {
  step(3);
  Store.HistoryFailure = ResultCode::PlatformMalformed;
  ++Store.Revision;
  Store.Intent = {
      change(StoreSubject::Configuration, "config", "newest", Store.Revision)};
  const TimeMs ChangedAt = Store.Now;

  step(4);

  STRCMP_EQUAL("newest", configuration().c_str());
  CHECK(Proofs.back().first >= ChangedAt);
  for (int I = 0; I < 10; ++I) {
    const TimeMs Before = Store.Now;
    Store.Watches.push_back({std::nullopt, ResultCode::PlatformMalformed, ""});
    step(4);
    CHECK(Store.Now >= Before + WatchPeriod);
  }
}
