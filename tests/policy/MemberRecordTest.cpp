#include "policy/MemberRecord.h"

#include "support/Property.h"

#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// Builds a record of one member whose parts are derived from a number.
MemberRecord recordOf(std::uint16_t Number) {
  MemberRecord Record;
  Record.Place.Name = "recife/archive-1";
  Record.Order = {1U + Number % 2, Number / 2U % 3,
                  static_cast<MemberHealth>(Number / 6 % 4)};
  // A member's own state is a function of its incarnation and sequence.
  Record.Place.State = static_cast<TargetState>(Number / 2 % 3);
  Record.Listing = {Number / 24U % 3, Number / 24 % 3 == 1, 1};
  return Record;
}

MemberRecord mergeAll(const std::vector<std::uint16_t> &Numbers) {
  MemberRecord Result;
  Result.Place.Name = "recife/archive-1";
  for (std::uint16_t Number : Numbers)
    mergeRecord(Result, recordOf(Number));
  return Result;
}

} // namespace

TEST_GROUP(MemberRecord){};

TEST(MemberRecord, MergeIsCommutativeAndIdempotent) {
  checkProperty("merge is commutative and idempotent",
                [](std::vector<std::uint16_t> Numbers) {
                  const MemberRecord Expected = mergeAll(Numbers);
                  const auto Original = Numbers;

                  Numbers.insert(Numbers.end(), Original.begin(),
                                 Original.end());
                  std::reverse(Numbers.begin(), Numbers.end());

                  RC_ASSERT(mergeAll(Numbers) == Expected);
                });
}

TEST(MemberRecord, LeavingAppliesOnlyToListedIncarnation) {
  MemberRecord Record = recordOf(0);
  Record.Listing = {5, true, Record.Order.Incarnation};
  CHECK_TRUE(Record.isListedAsLeaving());

  Record.Order.Incarnation += 1; // Replaced under the same name.

  CHECK_FALSE(Record.isListedAsLeaving());
}
