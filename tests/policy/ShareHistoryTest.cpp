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

  /// Makes a version the agreed one, fence included.
  void agreeOn(std::uint64_t Revision, double PerSecond, TimeMs Now) {
    History.add(version(Revision), Revision, shareOf(PerSecond));
    History.agree(Now);
    History.update(Now + Fence);
  }

  double rate() { return History.share("registry").PerSecond; }
};

TEST(ShareHistory, MetersNothingUntilTheFenceAfterTheFirstAgreement) {
  History.add(version(1), 1, shareOf(10));
  History.agree(TimeMs(0));

  History.update(TimeMs(99));
  DOUBLES_EQUAL(0, rate(), 0);
  History.update(TimeMs(100));
  DOUBLES_EQUAL(10, rate(), 0);
}

TEST(ShareHistory, UsesTheSmallestShareSinceTheAgreedVersion) {
  agreeOn(1, 10, TimeMs(0));

  History.add(version(2), 2, shareOf(4));
  DOUBLES_EQUAL(4, rate(), 0);
  History.add(version(3), 3, shareOf(20));
  DOUBLES_EQUAL(4, rate(), 0);
  History.agree(TimeMs(200));
  History.update(TimeMs(299));
  DOUBLES_EQUAL(4, rate(), 0);
  History.update(TimeMs(300));
  DOUBLES_EQUAL(20, rate(), 0);
}

TEST(ShareHistory, ANewOrganisationStartsWithTheAgreement) {
  agreeOn(1, 10, TimeMs(0));
  SlotShares Added = shareOf(10);
  Added["notary"] = {5, 5};

  History.add(version(2), 2, Added);
  DOUBLES_EQUAL(0, History.share("notary").PerSecond, 0);
  History.agree(TimeMs(200));
  History.update(TimeMs(300));
  DOUBLES_EQUAL(5, History.share("notary").PerSecond, 0);
}

TEST(ShareHistory, AReturnToAnEarlierDivisionIsANewRun) {
  agreeOn(1, 10, TimeMs(0));
  History.add(version(2), 2, shareOf(4));

  History.add(version(3), 1, shareOf(10));

  // Marks of the time before version 2 do not count for it.
  LONGS_EQUAL(3, History.mark()->Since.Revision);
  DOUBLES_EQUAL(4, rate(), 0);
}

TEST(ShareHistory, AVersionWithTheSameDivisionKeepsTheAgreement) {
  agreeOn(1, 10, TimeMs(0));

  History.add(version(2), 1, shareOf(10));
  History.add(version(1), 9, shareOf(1));

  LONGS_EQUAL(1, History.mark()->Since.Revision);
  LONGS_EQUAL(2, History.mark()->Current.Revision);
  DOUBLES_EQUAL(10, rate(), 0);
}

TEST(ShareHistory, RemembersTheSmallestShareOfAnyNumberOfDivisions) {
  agreeOn(1, 10, TimeMs(0));
  History.add(version(2), 2, shareOf(3));

  for (std::uint64_t V = 3; V < 200; ++V)
    History.add(version(V), V, shareOf(static_cast<double>(V)));

  DOUBLES_EQUAL(3, rate(), 0);
}

TEST(ShareHistory, AnAgreementFromBeforeAPauseStartsNoFence) {
  agreeOn(1, 10, TimeMs(0));
  History.add(version(2), 2, shareOf(20));
  History.agree(TimeMs(200));

  History.dropPending();
  History.update(TimeMs(200) + Fence);

  DOUBLES_EQUAL(10, rate(), 0);
  History.agree(TimeMs(400));
  History.update(TimeMs(400) + Fence);
  DOUBLES_EQUAL(20, rate(), 0);
}

TEST(ShareHistory, MetersNothingAfterALongPauseUntilTheNextAgreement) {
  agreeOn(1, 10, TimeMs(0));

  History.dropAgreement();
  History.update(TimeMs(200));

  DOUBLES_EQUAL(0, rate(), 0);
  History.agree(TimeMs(200));
  History.update(TimeMs(200) + Fence);
  DOUBLES_EQUAL(10, rate(), 0);
}
