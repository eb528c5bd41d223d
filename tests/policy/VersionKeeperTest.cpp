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
    return Keeper.evaluate(Seen, VersionOrigin::Source, Now);
  }
};

TEST(VersionKeeper, AcceptsOnlyLargerVersions) {
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
          if (Keeper.evaluate(Seen, Origin, Now) != VersionVerdict::Accept)
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

TEST(VersionKeeper, WaitsForPeersBeforeAcceptingFromSource) {
  CHECK(VersionVerdict::Wait == fromSource(versionOf(1), TimeMs(100)));
  Keeper.onPeerAnswer("p1", versionOf(2), false, TimeMs(100));
  Keeper.onPeerAnswer("p2", {}, false, TimeMs(100));
  Keeper.onPeerAnswer("p3", {}, true, TimeMs(100)); // Still starting.
  CHECK_TRUE(Keeper.isStarting(TimeMs(100)));
  Keeper.onPeerAnswer("p4", {}, false, TimeMs(100));
  CHECK_FALSE(Keeper.isStarting(TimeMs(100)));

  // The peer's newer version takes precedence until the deadline.
  CHECK(VersionVerdict::Wait == fromSource(versionOf(1), TimeMs(200)));
  CHECK(VersionVerdict::Accept == fromSource(versionOf(2), TimeMs(200)));
  CHECK(VersionVerdict::Accept ==
        fromSource(versionOf(1), TimeMs(0) + Settings.PeerFetchDeadline));
}

TEST(VersionKeeper, ReadsSourceFromHalfOfStartButAcceptsOnlyAfterIt) {
  const TimeMs Half = TimeMs(0) + DurationMs(Settings.StartDeadline.Value / 2);
  CHECK_FALSE(Keeper.canReadSource(Half - DurationMs(1)));
  CHECK_TRUE(Keeper.canReadSource(Half));
  CHECK(VersionVerdict::Wait == fromSource(versionOf(1), Half));
}

TEST(VersionKeeper, AcceptsFromSourceAfterDeadlineWithoutPeerAnswers) {
  const TimeMs Deadline = TimeMs(0) + Settings.StartDeadline;

  CHECK(VersionVerdict::Wait ==
        fromSource(versionOf(1), Deadline - DurationMs(1)));
  CHECK(VersionVerdict::Accept == fromSource(versionOf(1), Deadline));
}

TEST(VersionKeeper, CatchesUpAfterPauseUntilAnswersOrDeadline) {
  const TimeMs Resumed(100 * 1000);
  Keeper.tick(Resumed - Settings.PauseLimit - DurationMs(1));
  Keeper.onPeerAnswer("p0", versionOf(1), false, Resumed - DurationMs(2));

  CHECK_TRUE(Keeper.tick(Resumed));
  CHECK_TRUE(Keeper.isCatchingUp(Resumed));
  CHECK_FALSE(Keeper.isCatchingUp(Resumed + Settings.CatchUpDeadline));
  Keeper.onPeerAnswer("p1", versionOf(1), false, Resumed);
  CHECK_TRUE(Keeper.isCatchingUp(Resumed));
  Keeper.onPeerAnswer("p2", versionOf(1), false, Resumed);

  CHECK_FALSE(Keeper.isCatchingUp(Resumed));
}

TEST(VersionKeeper, ReportsConflictOfTwoContentsUnderOneRevision) {
  Keeper.onApplied(versionOf(3, 1));

  CHECK_TRUE(Keeper.hasConflict(versionOf(3, 2)));
  CHECK_FALSE(Keeper.hasConflict(versionOf(4, 2)));
  CHECK(VersionVerdict::Accept ==
        Keeper.evaluate(versionOf(3, 2), VersionOrigin::Peer, TimeMs(0)));
  CHECK(VersionVerdict::Older ==
        Keeper.evaluate(versionOf(3, 0), VersionOrigin::Peer, TimeMs(0)));
}

TEST(VersionKeeper, CountsRefusedVersionAsSeen) {
  Keeper.onApplied(versionOf(3));
  Keeper.onRefused(versionOf(4));

  LONGS_EQUAL(4, Keeper.newestSeenVersion().Revision);
  CHECK(versionOf(3) == *Keeper.inForce());
}

// A source that was restored gives an older configuration a later revision.
TEST(VersionKeeper, OlderNumberUnderALaterRevisionIsOlder) {
  Version InForce = versionOf(5, 1);
  InForce.Number = 7;
  Keeper.onApplied(InForce);
  Version Copy = versionOf(9, 2);
  Copy.Number = 6;

  CHECK(VersionVerdict::Older ==
        Keeper.evaluate(Copy, VersionOrigin::Peer, TimeMs(100)));
  Copy.Number = 8;
  CHECK(VersionVerdict::Accept ==
        Keeper.evaluate(Copy, VersionOrigin::Peer, TimeMs(100)));
}
