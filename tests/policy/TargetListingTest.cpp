#include "policy/TargetListing.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr TimeMs Now{1000};

ListedInstance entry(std::uint64_t Revision,
                     ListedState State = ListedState::Live) {
  ListedInstance Entry;
  Entry.TargetId = "i-1";
  Entry.State = State;
  Entry.Revision = Revision;
  return Entry;
}

} // namespace

TEST_GROUP(TargetListing) { TargetListing Listing; };

TEST(TargetListing, RefusesWithoutAnEntryAndWhileTheTargetLeaves) {
  CHECK(ResultCode::TargetUnlisted == Listing.refusal(Now));

  Listing.setEntry(entry(4));
  CHECK(ResultCode::Ok == Listing.refusal(Now));

  Listing.setEntry(entry(5, ListedState::Leaving));
  CHECK(ResultCode::TargetDraining == Listing.refusal(Now));
}

TEST(TargetListing, LeavingThatOthersReadLaterCountsForMoreThanTheOwnReading) {
  Listing.setEntry(entry(4));

  Listing.setReport({4, true, 0});
  CHECK(ResultCode::Ok == Listing.refusal(Now));

  Listing.setReport({5, true, 0});
  CHECK(ResultCode::TargetDraining == Listing.refusal(Now));
  STRCMP_EQUAL("report", std::string(Listing.evidence()).c_str());
}

// A target whose entry had lapsed writes it again.
TEST(TargetListing, UsesTheTargetAgainOnceItsEntryIsNewerThanTheReport) {
  Listing.setEntry(entry(4));
  Listing.setReport({5, true, 0});

  Listing.setEntry(entry(6));

  CHECK(ResultCode::Ok == Listing.refusal(Now));
}

TEST(TargetListing, UsesTheTargetAgainOnceOthersReadItsEntry) {
  Listing.setEntry(entry(4));
  Listing.setReport({5, true, 0});

  Listing.setReport({7, false, 0});

  CHECK(ResultCode::Ok == Listing.refusal(Now));
}

TEST(TargetListing, LeavingTargetGetsNothingOnceItsAssumptionHasEnded) {
  ListedInstance Assumed = entry(4);
  Assumed.AssumedUntil = Now;
  Listing.setEntry(Assumed);

  CHECK(ResultCode::Ok == Listing.refusal(Now - DurationMs(1)));
  CHECK(ResultCode::TargetUnlisted == Listing.refusal(Now));
}
