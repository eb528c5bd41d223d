#include "support/Property.h"

#include "policy/BodyTransfer.h"
#include "policy/StagedBodies.h"

#include <deque>
#include <string>
#include <utility>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr CallId First{1, 1};
constexpr CallId Second{1, 2};
constexpr TimeMs Now{1000};
constexpr TimeMs Deadline{5000};

std::string anyBytes(std::size_t Size) {
  std::string Bytes(Size, '\0');
  for (std::size_t I = 0; I < Size; ++I)
    Bytes[I] = static_cast<char>(I * 31 / 7);
  return Bytes;
}

/// Draws an event that occurs once in \p Count times. Not by the value 0, which
/// is drawn every time in the smallest cases.
bool occursOnceIn(int Count) {
  return *rc::gen::inRange(0, Count) == Count - 1;
}

} // namespace

TEST_GROUP(StagedBodies) { StagedBodies Bodies{1000}; };

TEST(StagedBodies, ReturnsACompleteBodyOnce) {
  CHECK_TRUE(Bodies.open(First, 6, Deadline, Now));
  CHECK(PieceResult::Accepted == Bodies.add(First, 0, 6, "abc", Now));
  CHECK(PieceResult::Accepted == Bodies.add(First, 2, 6, "cdef", Now));

  STRCMP_EQUAL("abcdef", Bodies.take(First)->c_str());
  CHECK_FALSE(Bodies.take(First).has_value());
  LONGS_EQUAL(6, Bodies.reservedBytes());
  Bodies.release(6);
  LONGS_EQUAL(0, Bodies.ungrantedBytes());
}

// Guards against a request that runs with part of its body.
TEST(StagedBodies, NeverReturnsPartOfABody) {
  Bodies.open(First, 6, Deadline, Now);
  Bodies.add(First, 0, 6, "abc", Now);
  CHECK(PieceResult::Ahead == Bodies.add(First, 4, 6, "ef", Now));

  CHECK_FALSE(Bodies.take(First).has_value());
  LONGS_EQUAL(0, Bodies.reservedBytes());
}

// Guards against a body that is put together from two.
TEST(StagedBodies, DropsABodyWhoseMessagesContradictEachOther) {
  Bodies.open(First, 6, Deadline, Now);
  CHECK(PieceResult::Contradicting == Bodies.add(First, 0, 7, "abc", Now));
  CHECK_TRUE(Bodies.find(First) == nullptr);

  Bodies.open(Second, 6, Deadline, Now);
  CHECK(PieceResult::Contradicting == Bodies.add(Second, 4, 6, "efg", Now));
  LONGS_EQUAL(0, Bodies.reservedBytes());
}

// Guards against bodies that fill the memory of the machine, and against a
// limit that no single large body passes.
TEST(StagedBodies, BoundsTheirBytesUnlessThereIsOnlyOne) {
  CHECK_TRUE(Bodies.open(First, 700, Deadline, Now));
  CHECK_FALSE(Bodies.open(Second, 301, Deadline, Now));
  CHECK_TRUE(Bodies.reserve(300));
  CHECK_FALSE(Bodies.reserve(1));

  Bodies.drop(First);
  Bodies.release(300);
  CHECK_TRUE(Bodies.open(Second, 2000, Deadline, Now));
  CHECK_FALSE(Bodies.open(First, 1, Deadline, Now));
}

// Guards against memory that is held for callers and nodes that are gone.
TEST(StagedBodies, DropsBodiesAtTheirDeadlineAndOfSilentSenders) {
  Bodies.open(First, 10, Now + DurationMs(100), Now);
  Bodies.open(Second, 10, Deadline, Now);

  CHECK_TRUE(Bodies.expire(Now + DurationMs(99)).empty());
  CHECK(First == Bodies.expire(Now + DurationMs(100)).at(0));
  const TimeMs Heard = Now + DurationMs(200);
  Bodies.add(Second, 0, 10, "", Heard);
  CHECK_TRUE(Bodies.expire(Now + StagedSilenceLimit).empty());
  CHECK(Second == Bodies.expire(Heard + StagedSilenceLimit).at(0));
  LONGS_EQUAL(0, Bodies.reservedBytes());
  LONGS_EQUAL(0, Bodies.ungrantedBytes());
}

TEST_GROUP(BodyTransfer){};

TEST(BodyTransfer, AsksFirstAndThenSendsWhatIsGranted) {
  BodyTransfer Transfer(3 * BodyPieceBytes);

  CHECK(BodyRange({0, 0}) == *Transfer.next());
  CHECK_FALSE(Transfer.next().has_value());
  Transfer.onReply({0, 0}, 0, 2 * BodyPieceBytes);
  CHECK(BodyRange({0, BodyPieceBytes}) == *Transfer.next());
  CHECK(BodyRange({BodyPieceBytes, BodyPieceBytes}) == *Transfer.next());
  CHECK_FALSE(Transfer.next().has_value());
  Transfer.onReply({0, BodyPieceBytes}, BodyPieceBytes, 3 * BodyPieceBytes);
  CHECK(BodyRange({2 * BodyPieceBytes, BodyPieceBytes}) == *Transfer.next());
}

TEST(BodyTransfer, SendsTheSameOffsetAgainAfterALoss) {
  BodyTransfer Transfer(BodyPieceBytes);
  Transfer.next();
  Transfer.onReply({0, 0}, 0, BodyPieceBytes);
  Transfer.next();

  Transfer.onLost();
  CHECK_FALSE(Transfer.receiverSilent());
  CHECK(BodyRange({0, BodyPieceBytes, 1}) == *Transfer.next());
  Transfer.onLost();
  CHECK_TRUE(Transfer.receiverSilent());
}

// Guards against a window that moves on past a piece that was ignored, as it
// arrived before an earlier one: the rest of the body was then ignored too.
TEST(BodyTransfer, SendsAPieceAgainThatArrivedTooEarly) {
  BodyTransfer Transfer(4 * BodyPieceBytes);
  Transfer.next();
  Transfer.onReply({0, 0}, 0, 2 * BodyPieceBytes);
  Transfer.next();
  const BodyRange Early = *Transfer.next();

  Transfer.onReply(Early, BodyPieceBytes, 3 * BodyPieceBytes);

  const BodyRange Again = *Transfer.next();
  LONGS_EQUAL(Early.Offset, Again.Offset);
  // Once is enough, also if more pieces arrived too early.
  Transfer.onReply(Early, BodyPieceBytes, 3 * BodyPieceBytes);
  LONGS_EQUAL(2 * BodyPieceBytes, Transfer.next()->Offset);
}

// Guards against a transfer that stalls, or a body that differs from what was
// sent, when messages and replies are lost, repeated or reordered.
TEST(BodyTransfer, DeliversTheWholeBodyWhateverTheNetworkDoes) {
  checkProperty("staged = sent", [] {
    const std::string Body =
        anyBytes(*rc::gen::inRange<std::size_t>(1, 6 * BodyPieceBytes));
    StagedBodies Bodies(1);
    Bodies.open(First, Body.size(), Deadline, Now);
    BodyTransfer Transfer(Body.size());
    std::deque<BodyRange> UnderWay;

    for (int Step = 0; Step < 3000 && !Transfer.complete(); ++Step) {
      while (const auto Next = Transfer.next())
        UnderWay.push_back(*Next);
      RC_ASSERT(!UnderWay.empty());
      if (occursOnceIn(4))
        std::swap(UnderWay.front(), UnderWay.back());
      const BodyRange Range = UnderWay.front();
      UnderWay.pop_front();
      if (occursOnceIn(5)) { // The request is lost.
        Transfer.onLost();
        continue;
      }
      const int Copies = *rc::gen::inRange(1, 3);
      for (int I = 0; I < Copies; ++I) {
        RC_ASSERT(
            Bodies.add(First, Range.Offset, Body.size(),
                       std::string_view(Body).substr(Range.Offset, Range.Bytes),
                       Now) != PieceResult::Contradicting);
      }
      Bodies.grant(First, BodyPieceBytes);
      if (occursOnceIn(5)) // The reply is lost.
        Transfer.onLost();
      else
        Transfer.onReply(Range, Bodies.find(First)->Bytes.size(),
                         Bodies.find(First)->GrantedBytes);
    }

    RC_ASSERT(Transfer.complete());
    RC_ASSERT(Bodies.take(First) == Body);
  });
}
