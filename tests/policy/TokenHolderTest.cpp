#include "policy/TokenHolder.h"

#include <algorithm>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(TokenHolder) {
  TokenSettings Settings;
  TokenHolder Holder{Settings};
  const SlotId Near{"recife", 1};
  const SlotId Far{"caruaru", 2};

  void setup() override { Holder.setMeters({Near, Far}, "recife"); }

  std::optional<AddressedAsk> askFor(std::uint32_t Waiting, TimeMs Now) {
    TokenDemand Demand;
    Demand.Waiting = Waiting;
    return Holder.nextAsk("registry", Demand, Now);
  }

  static TokenGrant grant(std::uint64_t Sequence, double Tokens) {
    TokenGrant Given;
    Given.Organisation = "registry";
    Given.Sequence = Sequence;
    Given.Tokens = Tokens;
    Given.Cap = Tokens;
    Given.Term = DurationMs(1000);
    return Given;
  }
};

TEST(TokenHolder, TakesUpAGrantOnce) {
  const auto Sent = askFor(3, TimeMs(0));
  Holder.accept(Near, grant(Sent->Ask.Sequence, 3), TimeMs(1));
  Holder.takeUpTo(3, TimeMs(2));

  Holder.accept(Near, grant(Sent->Ask.Sequence, 3), TimeMs(3));

  DOUBLES_EQUAL(0, Holder.level(TimeMs(3)), 0);
}

TEST(TokenHolder, CountsATermFromTheAskAndDropsWhatIsLeftAtItsEnd) {
  const auto Sent = askFor(3, TimeMs(0));

  Holder.accept(Near, grant(Sent->Ask.Sequence, 3), TimeMs(200));

  DOUBLES_EQUAL(3, Holder.level(TimeMs(999)), 0);
  DOUBLES_EQUAL(0, Holder.level(TimeMs(1000)), 0);
}

TEST(TokenHolder, IgnoresAGrantThatComesAfterItsTermOrItsAsk) {
  const auto Late = askFor(1, TimeMs(0));
  Holder.accept(Near, grant(Late->Ask.Sequence, 1), TimeMs(1000));

  const auto Given = askFor(1, TimeMs(2000));
  Holder.lose(Given->Meter, Given->Ask.Sequence, TimeMs(2010));
  Holder.accept(Given->Meter, grant(Given->Ask.Sequence, 1), TimeMs(2020));

  DOUBLES_EQUAL(0, Holder.level(TimeMs(2020)), 0);
}

TEST(TokenHolder, AsksTheNextMeterWhenOneIsSilent) {
  const auto First = askFor(1, TimeMs(0));

  const auto WhilePending = askFor(1, TimeMs(10));
  const auto Next = askFor(1, TimeMs(0) + Settings.AskTimeout);

  CHECK(First->Meter == Near);
  CHECK_FALSE(WhilePending.has_value());
  CHECK(Next->Meter == Far);
}

TEST(TokenHolder, TellsTheMetersWordForTheNextToken) {
  const auto Sent = askFor(1, TimeMs(0));
  TokenGrant None;
  None.Sequence = Sent->Ask.Sequence;
  None.Quiet = DurationMs(500);
  None.Ready = DurationMs(700);

  Holder.accept(Near, None, TimeMs(10));

  LONGS_EQUAL(710, Holder.nextToken(TokenDemand(), TimeMs(10)).Value);
}

TEST(TokenHolder, AsksOtherDomainsForARateWhenTheOwnOneHasNone) {
  constexpr int EnoughAsks = 8;
  TokenDemand Demand;
  Demand.PerSecond = 10;
  TimeMs Now(0);
  std::vector<SlotId> Asked;

  for (int Tries = 0; Tries < EnoughAsks; ++Tries) {
    auto Sent = Holder.nextAsk("registry", Demand, Now);
    for (; !Sent; Now = Now + DurationMs(50))
      Sent = Holder.nextAsk("registry", Demand, Now);
    Asked.push_back(Sent->Meter);
    Holder.accept(Sent->Meter, grant(Sent->Ask.Sequence, 0), Now);
  }

  CHECK(Asked.front() == Near);
  CHECK(std::count(Asked.begin(), Asked.end(), Far) > 0);
}
