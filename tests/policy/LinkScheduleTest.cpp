#include "support/Property.h"

#include "policy/LinkSchedule.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr double BytesPerMs = 1250; // 10 Mbit/s.
constexpr std::size_t PieceBytes = 12'500;
constexpr DurationMs PieceTime{10};
constexpr TimeMs Start{1000};

} // namespace

TEST_GROUP(LinkSchedule) {
  LinkSchedule Link{BytesPerMs};
  std::string Released;

  LinkTransferId add(char Name, TimeMs Deadline, TimeMs Now = Start) {
    return Link.add(
        PieceBytes, Deadline, [this, Name] { Released += Name; }, Now);
  }
};

// Guards against a delay where nothing else is sent.
TEST(LinkSchedule, IdleLinkReleasesAtOnce) {
  add('a', TimeMs(9000));
  Link.release(Start);

  STRCMP_EQUAL("a", Released.c_str());
  LONGS_EQUAL(PieceTime.Value, Link.timeToSend(0, Start).Value);
}

TEST(LinkSchedule, ReleasesOneAfterTheOtherEarliestDeadlineFirst) {
  add('a', TimeMs(9000));
  add('b', TimeMs(8000));
  add('c', TimeMs(9000));
  Link.release(Start);
  STRCMP_EQUAL("b", Released.c_str());
  LONGS_EQUAL((Start + PieceTime).Value, Link.nextDue().Value);

  Link.release(Start + PieceTime - DurationMs(1));
  STRCMP_EQUAL("b", Released.c_str());

  Link.release(Start + PieceTime);
  Link.release(Start + PieceTime * 2);
  STRCMP_EQUAL("bac", Released.c_str());
  CHECK_TRUE(Link.nextDue() == Never);
}

// Guards against a backlog that is counted after its entry node has given up.
TEST(LinkSchedule, RemovedTransferTakesNoTurn) {
  add('a', TimeMs(8000));
  const LinkTransferId Second = add('b', TimeMs(8500));
  add('c', TimeMs(9000));

  CHECK_TRUE(Link.remove(Second));
  CHECK_FALSE(Link.remove(Second));

  LONGS_EQUAL(2 * PieceTime.Value, Link.timeToSend(0, Start).Value);
  Link.release(Start);
  Link.release(Start + PieceTime);
  STRCMP_EQUAL("ac", Released.c_str());
}

// Guards against large pieces beside more small messages than the link has room
// for: the small ones would queue in the socket.
TEST(LinkSchedule, UnscheduledBytesDelayTheNextTurn) {
  Link.onSent(2 * PieceBytes, Start);
  add('a', TimeMs(9000));
  Link.release(Start + PieceTime);
  STRCMP_EQUAL("", Released.c_str());

  Link.release(Start + PieceTime * 2);
  STRCMP_EQUAL("a", Released.c_str());
}

TEST(LinkSchedule, FitsWhatCanBeSentBeforeTheDeadline) {
  add('a', TimeMs(9000));
  Link.release(Start);
  add('b', TimeMs(9000));

  CHECK_TRUE(Link.fits(PieceBytes, Start + PieceTime * 3, Start));
  CHECK_FALSE(Link.fits(PieceBytes + 1, Start + PieceTime * 3, Start));
}

TEST(LinkSchedule, IsBusyUntilEverythingIsSent) {
  LONGS_EQUAL(0, Link.busyFor(Start).Value);
  add('a', TimeMs(9000));
  Link.release(Start);
  add('b', TimeMs(9000), Start + DurationMs(5));

  LONGS_EQUAL(9, Link.busyFor(Start + DurationMs(9)).Value);
  Link.release(Start + PieceTime);
  LONGS_EQUAL(19, Link.busyFor(Start + DurationMs(19)).Value);
  LONGS_EQUAL(0, Link.busyFor(Start + PieceTime * 2).Value);
}

TEST(LinkSchedule, WithoutARateEverythingIsReleasedAtOnce) {
  Link = LinkSchedule(0);
  add('a', TimeMs(9000));
  add('b', TimeMs(8000));
  Link.onSent(1 << 30, Start);
  Link.release(Start);

  STRCMP_EQUAL("ba", Released.c_str());
  CHECK_TRUE(Link.fits(1 << 30, Start, Start));
}

TEST(LinkSchedule, HookMayAddAndRemove) {
  Link = LinkSchedule(0);
  const LinkTransferId Last = add('z', TimeMs(9000));
  Link.add(
      1, TimeMs(100),
      [this, Last] {
        Link.remove(Last);
        add('b', TimeMs(200));
      },
      Start);
  Link.release(Start);

  STRCMP_EQUAL("b", Released.c_str());
}

// Releases that come late, as those of a thread with a tick, must neither waste
// the link nor overfill it.
TEST(LinkSchedule, NeverReleasesMoreThanTheLinkCarriesAndOnePiece) {
  checkProperty("sent <= rate x time + one piece", [] {
    LinkSchedule Link(BytesPerMs);
    struct Sent {
      TimeMs At;
      std::size_t Bytes;
    };
    std::vector<Sent> All;
    TimeMs Now = Start;
    const auto Steps = *rc::gen::container<std::vector<std::pair<int, int>>>(
        rc::gen::pair(rc::gen::inRange(0, 16), rc::gen::inRange(0, 4)));
    for (const auto &[Gap, Transfers] : Steps) {
      Now = Now + DurationMs(Gap);
      for (int I = 0; I < Transfers; ++I) {
        const auto Bytes = *rc::gen::inRange<std::size_t>(1, LinkPieceBytes);
        const TimeMs Deadline = Now + DurationMs(*rc::gen::inRange(0, 500));
        Link.add(
            Bytes, Deadline,
            [&All, &Now, Bytes] {
              All.push_back({Now, Bytes});
            },
            Now);
      }
      Link.release(Now);
    }
    for (std::size_t First = 0; First < All.size(); ++First) {
      double Bytes = 0;
      for (std::size_t Last = First; Last < All.size(); ++Last) {
        const DurationMs Span = All[Last].At - All[First].At + MaxLateTurn;
        // Whole turns end within the span; the last one may begin in it.
        RC_ASSERT(Bytes <= BytesPerMs * static_cast<double>(Span.Value));
        Bytes += static_cast<double>(All[Last].Bytes);
      }
    }
  });
}

TEST(LinkSchedule, KeepsALinkBusyWhileTransfersWait) {
  checkProperty("backlog is sent at the rate of the link", [] {
    LinkSchedule Link(BytesPerMs);
    const auto Sizes = *rc::gen::nonEmpty(rc::gen::container<std::vector<int>>(
        rc::gen::inRange(1, static_cast<int>(LinkPieceBytes))));
    std::size_t Total = 0;
    std::size_t Released = 0;
    for (const int Size : Sizes) {
      Total += static_cast<std::size_t>(Size);
      Link.add(
          static_cast<std::size_t>(Size), TimeMs(9000), [&] { ++Released; },
          Start);
    }
    const DurationMs Needed = Link.timeToSend(0, Start);
    TimeMs Now = Start;
    while (Released < Sizes.size()) {
      Link.release(Now);
      Now = Now + DurationMs(5);
    }
    RC_ASSERT(Now - Start <= Needed + MaxLateTurn);
    RC_ASSERT(Link.queuedBytes() == 0U);
    RC_ASSERT(static_cast<double>(Needed.Value - 1) * BytesPerMs <=
              static_cast<double>(Total));
  });
}

// Under a lasting overload with deadlines, each transfer is passed only by
// those with an earlier deadline.
TEST(LinkSchedule, NoTransferStarves) {
  checkProperty("released once nothing earlier can arrive", [] {
    LinkSchedule Link(BytesPerMs);
    constexpr DurationMs MaxDeadline{300};
    bool Released = false;
    Link.add(
        PieceBytes, Start + MaxDeadline, [&] { Released = true; }, Start);
    // Twice what the link carries, all with an earlier deadline while possible.
    TimeMs Now = Start;
    std::size_t Ahead = 0;
    while (Now <= Start + MaxDeadline) {
      const DurationMs ToDeadline(*rc::gen::inRange<std::int64_t>(0, 300));
      Link.add(
          PieceBytes, Now + ToDeadline, [] {}, Now);
      Ahead += PieceBytes;
      Link.release(Now);
      Now = Now + DurationMs(5);
    }
    const auto Most = static_cast<std::int64_t>(
        static_cast<double>(Ahead + PieceBytes) / BytesPerMs);
    while (Now <= Start + DurationMs(Most + 10)) {
      Link.add(
          PieceBytes, Now + MaxDeadline, [] {}, Now);
      Link.release(Now);
      Now = Now + DurationMs(5);
    }
    RC_ASSERT(Released);
  });
}
