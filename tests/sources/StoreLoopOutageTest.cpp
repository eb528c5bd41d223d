#include "sources/StoreLoopFixture.h"

#include <set>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP_BASE(StoreLoopOutage, StoreLoopFixture){};

// Configurations of the outage may take seconds to arrive.
TEST(StoreLoopOutage, KnowsItsTargetBeforeItWatchesAgainAfterAnOutage) {
  step(3);
  loseStore();
  const std::size_t Reported = Bundles.size();
  Store.Targets.clear();
  queueChange(change(StoreSubject::Configuration, "config", "second", 20));

  step();

  CHECK_TRUE(LocalTarget->AssumedUntil.has_value());
  LONGS_EQUAL(Reported, Bundles.size());
  step(2);
  STRCMP_EQUAL("second", configuration().c_str());
}

// The watch after an outage returns changes that are older than the targets
// that were read.
TEST(StoreLoopOutage,
     TakesNoChangeOfATargetThatItsReadingOfAllTargetsIncludes) {
  step(3);
  loseStore();
  Store.Targets = {change(StoreSubject::Target, "i-2", "10.0.0.2", 18)};
  queueChange(change(StoreSubject::Target, "i-2", "10.0.0.9", 17));

  step(3);

  STRCMP_EQUAL("10.0.0.2", Lists.back().Instances.back().Name.c_str());
}

// After an outage the store answers some of this node's calls with 429. Each
// full reading shows that the target's entry is gone.
TEST(StoreLoopOutage, TargetThatIsMissingFromSeveralReadingsIsGone) {
  constexpr DurationMs Contact{3000};
  step(3);
  loseStore();
  Store.Targets.clear();
  step();
  const TimeMs FirstReadAt = Store.Now;
  int Readings = 1;
  while (LocalTarget && Store.Now - FirstReadAt < DurationMs(9000)) {
    loseStore(DurationMs(0));
    step();
    ++Readings;
  }

  CHECK(Readings > 1);
  CHECK_COMPARE((Store.Now - FirstReadAt).Value, <=, Contact.Value);
}

// Guards against requests to a target that left while the store rejected its
// node, long after the store had answered again.
TEST(StoreLoopOutage, RetentionOfALeftTargetEndsByTheClockNotByTheNextAnswer) {
  step(3);
  loseStore();
  Store.Targets.clear();
  step();
  const TimeMs End = *LocalTarget->AssumedUntil;

  while (LocalTarget)
    step();

  LONGS_EQUAL(End.Value, LocalTargetAt.Value);
}

// The last failed call to a silent store was sent nearly a second before its
// return; entries that lapsed are back within about two seconds of it.
TEST(StoreLoopOutage,
     RetainsALapsedEntryUntilItsTargetHasHadTimeToWriteItAgain) {
  step(3);
  Store.Failure = ResultCode::PlatformUnreachable;
  Store.FailureTakes = DurationMs(800);
  TimeMs SentAt;
  do {
    SentAt = Store.Now;
    step();
  } while (States.empty() || Store.Now - SentAt < DurationMs(900));
  const TimeMs Back = Store.Now - DurationMs(1);
  Store.Failure = ResultCode::Ok;
  Store.Revision = 20;
  Store.Targets.clear();

  while (LocalTarget && Store.Now < Back + DurationMs(2000))
    step();

  CHECK_TEXT(LocalTarget.has_value(),
             ("given up " + std::to_string((LocalTargetAt - Back).Value) +
              " ms after the return of the store")
                 .c_str());
}

// Changes of targets share the watch with configurations, each of which is
// returned whole. Sizes as on a day with many routes: 373 kB every 260 ms for
// 5 s over a link of 10 Mbit/s. The target may get requests for 2 s after its
// entry was removed.
TEST(StoreLoopOutage, KnowsARemovedTargetInTimeBehindManyConfigurations) {
  constexpr std::size_t Bytes = 373'000;
  constexpr std::int64_t BytesPerMs = 1250;
  constexpr std::int64_t Gap = 260;
  constexpr std::int64_t StormMs = 5000;
  constexpr std::int64_t Start = 10'000;
  std::int64_t Worst = 0;
  std::int64_t WorstAt = 0;
  for (std::int64_t Removed = 0; Removed < StormMs; Removed += 100) {
    struct Written {
      std::int64_t At;
      StoreChange Change;
    };
    std::vector<Written> History;
    std::uint64_t Revision = 10;
    bool Gone = false;
    for (std::int64_t At = 0; At <= StormMs; At += 10) {
      if (At % Gap == 0)
        History.push_back(
            {Start + At, change(StoreSubject::Configuration, "config",
                                std::string(Bytes, 'c'), ++Revision)});
      if (At >= Removed && !std::exchange(Gone, true))
        History.push_back({Start + At, change(StoreSubject::Target, "i-1", "",
                                              ++Revision, true)});
    }
    TimeMs Now{1000};
    const auto CurrentRevision = [&] {
      std::uint64_t Current = 10;
      for (const Written &Each : History)
        if (Each.At <= Now.Value)
          Current = Each.Change.Revision;
      return Current;
    };
    StoreCalls Calls = Store.calls();
    Calls.Range = [&](StoreSubject Subject,
                      std::string_view) -> PlatformRead<StorePage> {
      StorePage Page{{}, false, CurrentRevision()};
      if (Subject == StoreSubject::Target) {
        if (Now.Value < Start + Removed)
          Page.Items = Store.Targets;
      } else {
        Page.Items = {change(StoreSubject::Configuration, "config",
                             std::string(Bytes, 'c'), Page.Revision)};
        Now = Now + DurationMs(std::int64_t{Bytes} / BytesPerMs);
      }
      return {Page, ResultCode::Ok, ""};
    };
    Calls.Watch = [&](std::uint64_t After,
                      DurationMs Wait) -> PlatformRead<StoreChanges> {
      // As in StoreClient: an answer must end 3200 ms after it began.
      constexpr std::int64_t TransferMs = 3200;
      const TimeMs End = Now + Wait;
      for (;; Now = Now + DurationMs(1)) {
        StoreChanges Answer{{}, CurrentRevision()};
        std::int64_t Size = 0;
        for (const Written &Each : History) {
          if (Each.At > Now.Value || Each.Change.Revision <= After)
            continue;
          Answer.Changes.push_back(Each.Change);
          Size += static_cast<std::int64_t>(Each.Change.Value.size());
        }
        if (Answer.Changes.empty() && Now < End)
          continue;
        const std::int64_t Took = Size / BytesPerMs;
        Now = Now + DurationMs(std::min(Took, TransferMs));
        if (Took > TransferMs)
          return {std::nullopt, ResultCode::PlatformSlow, ""};
        return {Answer, ResultCode::Ok, ""};
      }
    };
    std::int64_t KnownAt = 0;
    StoreLoopHooks Hooks;
    Hooks.OnOwnTarget = [&](const std::optional<ListedInstance> &L) {
      if (!L)
        KnownAt = Now.Value;
    };
    StoreLoop Reader(std::move(Calls), OwnTarget{"10.0.0.1:80", "queue"},
                     WatchTiming{DurationMs(1200), DurationMs(600)},
                     std::move(Hooks), Clock([&] { return Now; }), 1);
    while (KnownAt == 0 && Now.Value < Start + 30'000)
      Now = Now + Reader.step();
    const std::int64_t Age = KnownAt - (Start + Removed);
    if (KnownAt == 0 || Age > Worst) {
      Worst = KnownAt == 0 ? 30'000 : Age;
      WorstAt = Removed;
    }
  }

  CHECK_TEXT(Worst < 2000,
             ("known " + std::to_string(Worst) + " ms after a removal " +
              std::to_string(WorstAt) + " ms into the storm")
                 .c_str());
}

TEST(StoreLoopOutage, ReadingTheTargetsAgainProvesNothingOfTheIntent) {
  step(3);
  loseStore();
  Proofs.clear();
  queueChange(change(StoreSubject::Configuration, "config", "second", 20));

  step();

  LONGS_EQUAL(0, Proofs.size());
  step();
  STRCMP_EQUAL("second", configuration().c_str());
  LONGS_EQUAL(20, Proofs.at(0).second);
}

TEST(StoreLoopOutage,
     KnowsTheDomainsThatWereWithdrawnAndReturnedDuringAnOutage) {
  Store.Intent.push_back(change(StoreSubject::DomainOut, "east", "{}", 6));
  step(3);
  loseStore();
  Store.Watches.push_back(
      {StoreChanges{{change(StoreSubject::DomainOut, "west", "{}", 18),
                     change(StoreSubject::DomainOut, "east", "", 19, true)},
                    21},
       ResultCode::Ok, ""});
  Store.Revision = 21;

  step(2);

  CHECK_TRUE((decodeStoreBundle(Bundles.back())->DomainsOut ==
              std::set<std::string, std::less<>>{"west"}));
  LONGS_EQUAL(19, Bundles.back().Revision);
}

// A lost history while the outage lasted, and again while all is read anew.
TEST(StoreLoopOutage, KnowsTheNewestIntentWhenItsHistoryIsLostRepeatedly) {
  step(3);
  loseStore();
  Store.Revision = 30;
  Store.Intent = {change(StoreSubject::Configuration, "config", "second", 25)};
  Store.Watches = {{std::nullopt, ResultCode::StoreHistoryGone, ""},
                   {std::nullopt, ResultCode::StoreHistoryGone, ""}};
  const std::uint64_t Before = Bundles.back().Revision;

  step(4);
  Store.Revision = 31;
  Store.Intent = {change(StoreSubject::Configuration, "config", "third", 31)};
  Store.Targets = {change(StoreSubject::Target, "i-2", "10.0.0.2", 29)};
  step(4);

  CHECK(Before <= Bundles.back().Revision);
  STRCMP_EQUAL("third", configuration().c_str());
  LONGS_EQUAL(31, Proofs.back().second);
  CHECK_TRUE(Lists.back().Revision >= 30);
}

// The watch starts at the reading of the targets, which is the older one.
TEST(StoreLoopOutage, AppliesWhatChangedBetweenItsReadingsOnceAndInOrder) {
  step();
  Store.Revision = 12;
  Store.Intent = {change(StoreSubject::Configuration, "config", "second", 12)};
  step();
  const std::size_t Reported = Bundles.size();
  Store.Watches.push_back(
      {StoreChanges{
           {change(StoreSubject::Target, "i-1", "", 11, true),
            change(StoreSubject::Configuration, "config", "second", 12)},
           12},
       ResultCode::Ok, ""});

  step();

  CHECK_FALSE(LocalTarget.has_value());
  LONGS_EQUAL(Reported, Bundles.size());
  LONGS_EQUAL(12, Proofs.back().second);
}
