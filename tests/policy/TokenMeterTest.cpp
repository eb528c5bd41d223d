#include "policy/TokenMeter.h"

#include "support/Property.h"

#include <map>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr double Rounding = 1e-6;

TokenRequest anyRequest(std::uint64_t Sequence, std::uint64_t ActiveSequence) {
  TokenRequest Request;
  Request.Organisation = "registry";
  Request.Sequence = Sequence;
  Request.ActiveSequence = ActiveSequence;
  Request.Demand = *rc::gen::inRange(0, 100) / 3.0;
  Request.Held = *rc::gen::inRange(0, 10) / 3.0;
  Request.Need = *rc::gen::inRange<std::uint32_t>(0, 6);
  return Request;
}

} // namespace

TEST_GROUP(TokenMeter) {
  TokenSettings Settings;
  TokenMeter Meter{Settings, TimeMs(0)};

  void setup() override { Meter.setShare({10, 20}, TimeMs(0)); }

  TokenGrant request(const std::string &Node, std::uint64_t Sequence,
                     std::uint32_t Need, TimeMs Now) {
    return Meter.grant({Node, 1}, {"registry", Sequence, 0, 1, 0, Need}, 0,
                       Now);
  }
};

// Leased and remaining rate and capacity never exceed the share, and no tokens
// are granted that did not accrue.
TEST(TokenMeter, LeasesAndRemainderNeverExceedTheShare) {
  checkProperty("lent + left <= share", [] {
    const TokenSettings Settings;
    TokenMeter Meter(Settings, TimeMs(0));
    const TokenShare Share{*rc::gen::inRange(1, 300) / 3.0,
                           *rc::gen::inRange(1, 300) / 2.0};
    Meter.setShare(Share, TimeMs(0));
    struct Lease {
      std::uint64_t Sequence = 0;
      double Rate = 0;
      double Cap = 0;
      TimeMs End;
    };
    std::map<int, Lease> InForce;
    TimeMs Now;
    double GrantedTokens = 0;
    for (std::uint64_t Step = 1; Step < 60; ++Step) {
      Now = Now + DurationMs(*rc::gen::inRange(0, 900));
      const int Holder = *rc::gen::inRange(0, 4);
      const Lease Old = InForce[Holder];
      const TokenRequest Request =
          anyRequest(Step, Now < Old.End ? Old.Sequence : 0);
      const TokenGrant Grant =
          Meter.grant({std::to_string(Holder), 1}, Request, 0, Now);
      GrantedTokens += Grant.Tokens;
      if (Grant.Cap > 0)
        InForce[Holder] = {Step, Grant.Rate, Grant.Cap, Now + Grant.Term};

      double Rate = Meter.rate();
      double Cap = Meter.cap();
      for (const auto &[Id, L] : InForce) {
        Rate += Now < L.End ? L.Rate : 0;
        Cap += Now < L.End ? L.Cap : 0;
      }
      RC_ASSERT(Rate <= Share.PerSecond + Rounding);
      RC_ASSERT(Cap <= Share.Burst + Rounding);
      RC_ASSERT(Meter.level(Now) <= Meter.cap() + Rounding);
      const double Seconds = static_cast<double>(Now.Value) / 1000;
      RC_ASSERT(GrantedTokens <= Share.PerSecond * Seconds + Rounding);
    }
  });
}

TEST(TokenMeter, RepeatedOrOvertakenRequestGetsNoTokens) {
  const TokenGrant First = request("one", 5, 2, TimeMs(1000));

  const TokenGrant Again = request("one", 5, 2, TimeMs(1001));
  const TokenGrant Overtaken = request("one", 4, 2, TimeMs(1002));

  CHECK(First.Tokens >= 2);
  DOUBLES_EQUAL(0, Again.Tokens, 0);
  DOUBLES_EQUAL(0, Overtaken.Tokens, 0);
}

TEST(TokenMeter, ClockGoingBackAccruesNoTokens) {
  const double Before = Meter.level(TimeMs(1000));

  Meter.level(TimeMs(100));

  DOUBLES_EQUAL(Before, Meter.level(TimeMs(1000)), 0);
}

TEST(TokenMeter, RenewalUnderASmallerShareShrinksTheLease) {
  const TokenGrant Large =
      Meter.grant({"one", 1}, {"registry", 1, 0, 8, 0, 0}, 0, TimeMs(1000));
  Meter.setShare({2, 5}, TimeMs(1000));

  const TokenGrant Renewed =
      Meter.grant({"one", 1}, {"registry", 2, 1, 8, 0, 0}, 0, TimeMs(2000));

  CHECK(Large.Rate > 2);
  CHECK(Renewed.Rate <= 2);
  CHECK(Renewed.Cap <= 5);
}

TEST(TokenMeter, RequestWithNegativeDemandIsRefused) {
  TokenRequest Request{"registry", 1, 0, -1, 0, 1};

  DOUBLES_EQUAL(0, Meter.grant({"one", 1}, Request, 0, TimeMs(1000)).Cap, 0);
}
