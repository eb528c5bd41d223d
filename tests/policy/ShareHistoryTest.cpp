#include "policy/ShareHistory.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr DurationMs Fence{100};

Version version(std::uint64_t Revision) {
  Version Id;
  Id.Revision = Revision;
  return Id;
}

SlotShares shareOf(double PerSecond) {
  return {{"registry", {PerSecond, PerSecond}}};
}

} // namespace

TEST_GROUP(ShareHistory) {
  ShareHistory History{Fence};

  /// Adds a version, agrees on it and lets the fencing period pass.
  void agreeOn(std::uint64_t Revision, double PerSecond, TimeMs Now) {
    History.add(version(Revision), Revision, shareOf(PerSecond));
    History.onAgreement(Now);
    History.update(Now + Fence);
  }

  double rate() { return History.share("registry").PerSecond; }
};

TEST(ShareHistory, ShareIsZeroUntilTheFenceAfterTheFirstAgreement) {
  History.add(version(1), 1, shareOf(10));
  History.onAgreement(TimeMs(0));

  History.update(TimeMs(99));
  DOUBLES_EQUAL(0, rate(), 0);
  History.update(TimeMs(100));
  DOUBLES_EQUAL(10, rate(), 0);
}

TEST(ShareHistory, ShareIsTheMinimumSinceTheAgreedVersion) {
  agreeOn(1, 10, TimeMs(0));

  History.add(version(2), 2, shareOf(4));
  DOUBLES_EQUAL(4, rate(), 0);
  History.add(version(3), 3, shareOf(20));
  DOUBLES_EQUAL(4, rate(), 0);
  History.onAgreement(TimeMs(200));
  History.update(TimeMs(299));
  DOUBLES_EQUAL(4, rate(), 0);
  History.update(TimeMs(300));
  DOUBLES_EQUAL(20, rate(), 0);
}

TEST(ShareHistory, NewOrganisationHasNoShareUntilTheAgreement) {
  agreeOn(1, 10, TimeMs(0));
  SlotShares Added = shareOf(10);
  Added["notary"] = {5, 5};

  History.add(version(2), 2, Added);
  DOUBLES_EQUAL(0, History.share("notary").PerSecond, 0);
  History.onAgreement(TimeMs(200));
  History.update(TimeMs(300));
  DOUBLES_EQUAL(5, History.share("notary").PerSecond, 0);
}

TEST(ShareHistory, ReturnToAnEarlierDivisionStartsANewRun) {
  agreeOn(1, 10, TimeMs(0));
  History.add(version(2), 2, shareOf(4));

  History.add(version(3), 1, shareOf(10));

  // Slots that were at version 1 do not count as agreeing with version 3.
  LONGS_EQUAL(3, History.currentRun()->Since.Revision);
  DOUBLES_EQUAL(4, rate(), 0);
}

TEST(ShareHistory, VersionWithTheSameDivisionKeepsTheAgreement) {
  agreeOn(1, 10, TimeMs(0));

  History.add(version(2), 1, shareOf(10));
  History.add(version(1), 9, shareOf(1));

  LONGS_EQUAL(1, History.currentRun()->Since.Revision);
  LONGS_EQUAL(2, History.currentRun()->Current.Revision);
  DOUBLES_EQUAL(10, rate(), 0);
}

TEST(ShareHistory, MinimumShareSurvivesMergingOfDivisions) {
  agreeOn(1, 10, TimeMs(0));
  History.add(version(2), 2, shareOf(3));

  for (std::uint64_t V = 3; V < 200; ++V)
    History.add(version(V), V, shareOf(static_cast<double>(V)));

  DOUBLES_EQUAL(3, rate(), 0);
}

TEST(ShareHistory, PendingAgreementIsDroppedAfterAPause) {
  agreeOn(1, 10, TimeMs(0));
  History.add(version(2), 2, shareOf(20));
  History.onAgreement(TimeMs(200));

  History.dropPendingAgreements();
  History.update(TimeMs(200) + Fence);

  DOUBLES_EQUAL(10, rate(), 0);
  History.onAgreement(TimeMs(400));
  History.update(TimeMs(400) + Fence);
  DOUBLES_EQUAL(20, rate(), 0);
}

TEST(ShareHistory, ShareIsZeroAfterALongPauseUntilTheNextAgreement) {
  agreeOn(1, 10, TimeMs(0));

  History.dropAgreements();
  History.update(TimeMs(200));

  DOUBLES_EQUAL(0, rate(), 0);
  History.onAgreement(TimeMs(200));
  History.update(TimeMs(200) + Fence);
  DOUBLES_EQUAL(10, rate(), 0);
}
