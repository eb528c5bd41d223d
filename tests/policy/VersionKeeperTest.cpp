#include "policy/VersionKeeper.h"

#include "support/Property.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Version versionOf(std::uint64_t Revision, std::uint8_t Content = 0) {
  Version Result;
  Result.Revision = Revision;
  Result.Content.Bytes[0] = Content;
  return Result;
}

} // namespace

TEST_GROUP(VersionKeeper) {
  VersionKeeperSettings Settings;
  VersionKeeper Keeper{Settings, TimeMs(0)};

  VersionVerdict fromSource(const Version &Seen, TimeMs Now) const {
    return Keeper.consider(Seen, VersionOrigin::Source, Now);
  }
};

TEST(VersionKeeper, AcceptsOnlyLargerVersionsWhateverIsOffered) {
  checkProperty(
      "accepted versions grow", [](const std::vector<std::uint16_t> &Offers) {
        VersionKeeper Keeper(VersionKeeperSettings(), TimeMs(0));
        TimeMs Now(0);
        std::optional<Version> Last;
        std::vector<Version> Bad;
        for (std::uint16_t Offer : Offers) {
          Now = Now + DurationMs(Offer % 97 * 50);
          Keeper.tick(Now);
          const Version Seen = versionOf(Offer % 11, Offer / 11 % 3);
          const auto Origin =
              Offer % 2 == 0 ? VersionOrigin::Source : VersionOrigin::Peer;
          if (Keeper.consider(Seen, Origin, Now) != VersionVerdict::Accept)
            continue;
          RC_ASSERT(!Last || Seen > *Last);
          RC_ASSERT(std::find(Bad.begin(), Bad.end(), Seen) == Bad.end());
          if (Offer % 5 == 0) {
            Keeper.onRefused(Seen);
            Bad.push_back(Seen);
            continue;
          }
          Keeper.onApplied(Seen);
          Last = Seen;
        }
      });
}

TEST(VersionKeeper, AsksItsPeersBeforeItTakesFromTheSource) {
  CHECK(VersionVerdict::Wait == fromSource(versionOf(1), TimeMs(100)));
  Keeper.onPeerAnswer("p1", versionOf(2), false, TimeMs(100));
  Keeper.onPeerAnswer("p2", {}, false, TimeMs(100));
  Keeper.onPeerAnswer("p3", {}, true, TimeMs(100)); // Knows nothing yet.
  CHECK_TRUE(Keeper.starting(TimeMs(100)));
  Keeper.onPeerAnswer("p4", {}, false, TimeMs(100));
  CHECK_FALSE(Keeper.starting(TimeMs(100)));

  // The peer's newer version goes first, but not for ever.
  CHECK(VersionVerdict::Wait == fromSource(versionOf(1), TimeMs(200)));
  CHECK(VersionVerdict::Accept == fromSource(versionOf(2), TimeMs(200)));
  CHECK(VersionVerdict::Accept ==
        fromSource(versionOf(1), TimeMs(0) + Settings.PeerFetchDeadline));
}

TEST(VersionKeeper, ReadsTheSourceLateInTheStartAndTakesNothingBeforeItsEnd) {
  const TimeMs Half = TimeMs(0) + DurationMs(Settings.StartDeadline.Value / 2);
  CHECK_FALSE(Keeper.mayRead(Half - DurationMs(1)));
  CHECK_TRUE(Keeper.mayRead(Half));
  CHECK(VersionVerdict::Wait == fromSource(versionOf(1), Half));
}

TEST(VersionKeeper, TakesFromTheSourceAfterTheDeadlineWhenNoPeerAnswers) {
  const TimeMs Deadline = TimeMs(0) + Settings.StartDeadline;

  CHECK(VersionVerdict::Wait ==
        fromSource(versionOf(1), Deadline - DurationMs(1)));
  CHECK(VersionVerdict::Accept == fromSource(versionOf(1), Deadline));
}

TEST(VersionKeeper, CatchesUpAfterAPauseOrGivesUpAtTheDeadline) {
  const TimeMs Woken(100 * 1000);
  Keeper.tick(Woken - Settings.PauseLimit - DurationMs(1));
  Keeper.onPeerAnswer("p0", versionOf(1), false, Woken - DurationMs(2));

  CHECK_TRUE(Keeper.tick(Woken));
  CHECK_TRUE(Keeper.catchingUp(Woken));
  CHECK_FALSE(Keeper.catchingUp(Woken + Settings.CatchUpDeadline));
  Keeper.onPeerAnswer("p1", versionOf(1), false, Woken);
  CHECK_TRUE(Keeper.catchingUp(Woken));
  Keeper.onPeerAnswer("p2", versionOf(1), false, Woken);

  CHECK_FALSE(Keeper.catchingUp(Woken));
}

TEST(VersionKeeper, SaysThatTwoContentsShareARevision) {
  Keeper.onApplied(versionOf(3, 1));

  CHECK_TRUE(Keeper.conflicts(versionOf(3, 2)));
  CHECK_FALSE(Keeper.conflicts(versionOf(4, 2)));
  CHECK(VersionVerdict::Accept ==
        Keeper.consider(versionOf(3, 2), VersionOrigin::Peer, TimeMs(0)));
  CHECK(VersionVerdict::Older ==
        Keeper.consider(versionOf(3, 0), VersionOrigin::Peer, TimeMs(0)));
}

TEST(VersionKeeper, DoesNotAskTheSourceAgainForABadRevision) {
  Keeper.onApplied(versionOf(3));
  Keeper.onRefused(versionOf(4));

  LONGS_EQUAL(4, Keeper.newestSeenVersion().Revision);
  CHECK(versionOf(3) == *Keeper.inForce());
}
