#include "support/Property.h"

#include "policy/CallLedger.h"

#include <map>
#include <optional>
#include <set>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const CallId First{7, 1};

CallLedgerLimits smallLimits() {
  CallLedgerLimits Limits;
  Limits.MaxIds = 5;
  Limits.MaxKeptBytes = 30;
  Limits.KeepAnswers = DurationMs(20);
  Limits.KeepIds = DurationMs(50);
  return Limits;
}

} // namespace

TEST_GROUP(CallLedger){};

TEST(CallLedger, RepeatedCallFindsTheStoredAnswer) {
  CallLedger Ledger({}, TimeMs(0));
  Ledger.begin(First, TimeMs(1));

  Ledger.finish(First, "answer", TimeMs(20), TimeMs(2));

  CHECK(CallLedger::Arrival::Known == Ledger.begin(First, TimeMs(3)));
  CHECK(LedgerEntry::State::Done == Ledger.find(First)->Progress);
  STRCMP_EQUAL("answer", Ledger.find(First)->Answer.c_str());
}

TEST(CallLedger, KeepsAnAnswerUntilItsTimeOrItsRelease) {
  const CallId Second{7, 2};
  CallLedger Ledger({}, TimeMs(0));
  Ledger.begin(First, TimeMs(1));
  Ledger.begin(Second, TimeMs(1));
  Ledger.finish(First, "first", TimeMs(9), TimeMs(2));
  Ledger.finish(Second, "second", TimeMs(7), TimeMs(3));

  Ledger.expire(TimeMs(7));
  CHECK_TRUE(Ledger.find(First)->HasAnswer);
  CHECK_FALSE(Ledger.find(Second)->HasAnswer);

  Ledger.release(First);
  LONGS_EQUAL(0, Ledger.keptBytes());
  CHECK(LedgerEntry::State::Done == Ledger.find(First)->Progress);
  CHECK_FALSE(Ledger.fence(First, TimeMs(8)));
  CHECK(CallLedger::Arrival::Known == Ledger.begin(First, TimeMs(8)));
}

TEST(CallLedger, FreesTheMemoryOfADroppedAnswer) {
  constexpr std::size_t AnswerBytes = 280'000;
  CallLedger Ledger({}, TimeMs(0));
  Ledger.begin(First, TimeMs(1));
  Ledger.finish(First, std::string(AnswerBytes, 'a'), TimeMs(9), TimeMs(2));

  Ledger.release(First);

  CHECK(Ledger.find(First)->Answer.capacity() < AnswerBytes);
}

TEST(CallLedger, DropsTheAnswersThatExpireFirstToMakeRoom) {
  CallLedger Ledger(smallLimits(), TimeMs(0));
  for (std::uint64_t I = 1; I <= 4; ++I)
    Ledger.begin({7, I}, TimeMs(1));
  const std::string Answer(10, 'a');
  Ledger.finish({7, 1}, Answer, TimeMs(9), TimeMs(2));
  Ledger.finish({7, 2}, Answer, TimeMs(8), TimeMs(2));
  Ledger.finish({7, 3}, Answer, TimeMs(9), TimeMs(2));

  LONGS_EQUAL(1, Ledger.finish({7, 4}, Answer, TimeMs(3), TimeMs(2)));

  CHECK_FALSE(Ledger.find({7, 2})->HasAnswer);
  CHECK_TRUE(Ledger.find({7, 4})->HasAnswer);
}

TEST(CallLedger, FencedCallNeverRuns) {
  CallLedger Ledger({}, TimeMs(0));

  CHECK_TRUE(Ledger.fence(First, TimeMs(1)));

  CHECK(CallLedger::Arrival::Known == Ledger.begin(First, TimeMs(2)));
  CHECK(LedgerEntry::State::Refused == Ledger.find(First)->Progress);
}

TEST(CallLedger, DoesNotFenceARunningCall) {
  CallLedger Ledger({}, TimeMs(0));
  Ledger.begin(First, TimeMs(1));

  CHECK_FALSE(Ledger.fence(First, TimeMs(2)));
}

// Compares the ledger with a model without eviction, for any order of messages:
// no id runs twice, the ledger is complete up to the reported age, and its
// limits hold.
TEST(CallLedger, RunsNoCallTwiceDespiteEviction) {
  checkProperty("at most once, within limits", [] {
    CallLedger Ledger(smallLimits(), TimeMs(0));
    TimeMs Now(0);
    std::map<CallId, TimeMs> Seen;
    std::set<CallId> Ran;
    std::set<CallId> Running;
    const auto Steps = *rc::gen::container<std::vector<std::array<int, 4>>>(
        rc::gen::container<std::array<int, 4>>(rc::gen::inRange(0, 30)));
    for (const auto &[Operation, Sequence, Incarnation, Wait] : Steps) {
      Now = Now + DurationMs(Wait);
      const CallId Id{static_cast<std::uint64_t>(1 + Incarnation % 2),
                      static_cast<std::uint64_t>(Sequence)};
      const bool Known = Ledger.find(Id) != nullptr;
      switch (Operation % 4) {
      case 0:
        if (Ledger.begin(Id, Now) == CallLedger::Arrival::New) {
          RC_ASSERT(Ran.insert(Id).second);
          Running.insert(Id);
          Seen[Id] = Now;
        }
        break;
      case 1:
        if (Running.erase(Id) > 0)
          Ledger.finish(Id, std::string(10, 'a'), Now + DurationMs(Incarnation),
                        Now);
        break;
      case 2:
        if (Wait % 2 == 0)
          Ledger.release(Id);
        if (Ledger.fence(Id, Now)) {
          if (!Known)
            RC_ASSERT(!Ran.contains(Id));
          Ran.insert(Id); // A fenced call must not run.
          Seen.try_emplace(Id, Now);
        }
        break;
      default:
        Ledger.expire(Now);
      }
      RC_ASSERT(Ledger.size() <= smallLimits().MaxIds + Running.size());
      RC_ASSERT(Ledger.keptBytes() <= smallLimits().MaxKeptBytes);
      for (const auto &[SeenId, SeenAt] : Seen)
        if (Now - SeenAt < Ledger.remembered(Now))
          RC_ASSERT(Ledger.find(SeenId) != nullptr);
    }
  });
}
