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

  std::optional<AddressedRequest> request(std::uint32_t Waiting, TimeMs Now) {
    TokenDemand Demand;
    Demand.Waiting = Waiting;
    return Holder.nextRequest("registry", Demand, Now);
  }

  static TokenGrant grant(std::uint64_t Sequence, double Tokens) {
    TokenGrant Reply;
    Reply.Organisation = "registry";
    Reply.Sequence = Sequence;
    Reply.Tokens = Tokens;
    Reply.Cap = Tokens;
    Reply.Term = DurationMs(1000);
    return Reply;
  }
};

TEST(TokenHolder, GrantIsAcceptedOnce) {
  const auto Sent = request(3, TimeMs(0));
  Holder.onGrant(Near, grant(Sent->Request.Sequence, 3), TimeMs(1));
  Holder.takeUpTo(3, TimeMs(2));

  Holder.onGrant(Near, grant(Sent->Request.Sequence, 3), TimeMs(3));

  DOUBLES_EQUAL(0, Holder.level(TimeMs(3)), 0);
}

TEST(TokenHolder, LeaseTermStartsAtTheRequestAndUnusedTokensExpire) {
  const auto Sent = request(3, TimeMs(0));

  Holder.onGrant(Near, grant(Sent->Request.Sequence, 3), TimeMs(200));

  DOUBLES_EQUAL(3, Holder.level(TimeMs(999)), 0);
  DOUBLES_EQUAL(0, Holder.level(TimeMs(1000)), 0);
}

TEST(TokenHolder, GrantAfterItsTermOrAfterAFailedRequestIsIgnored) {
  const auto LateRequest = request(1, TimeMs(0));
  Holder.onGrant(Near, grant(LateRequest->Request.Sequence, 1), TimeMs(1000));

  const auto FailedRequest = request(1, TimeMs(2000));
  Holder.onRequestFailed(FailedRequest->Meter, FailedRequest->Request.Sequence,
                         TimeMs(2010));
  Holder.onGrant(FailedRequest->Meter,
                 grant(FailedRequest->Request.Sequence, 1), TimeMs(2020));

  DOUBLES_EQUAL(0, Holder.level(TimeMs(2020)), 0);
}

TEST(TokenHolder, RequestsFromTheNextMeterAfterATimeout) {
  const auto First = request(1, TimeMs(0));

  const auto WhilePending = request(1, TimeMs(10));
  const auto Next = request(1, TimeMs(0) + Settings.RequestTimeout);

  CHECK(First->Meter == Near);
  CHECK_FALSE(WhilePending.has_value());
  CHECK(Next->Meter == Far);
}

TEST(TokenHolder, NextTokenFollowsTheForecastOfTheMeter) {
  const auto Sent = request(1, TimeMs(0));
  TokenGrant Refusal;
  Refusal.Sequence = Sent->Request.Sequence;
  Refusal.RequestDelay = DurationMs(500);
  Refusal.TokenDelay = DurationMs(700);

  Holder.onGrant(Near, Refusal, TimeMs(10));

  LONGS_EQUAL(710, Holder.nextToken(TokenDemand(), TimeMs(10)).Value);
}

TEST(TokenHolder, RequestsRateFromOtherDomainsWhenItsOwnHasNone) {
  constexpr int RequestCount = 8;
  TokenDemand Demand;
  Demand.PerSecond = 10;
  TimeMs Now(0);
  std::vector<SlotId> RequestedMeters;

  for (int I = 0; I < RequestCount; ++I) {
    auto Sent = Holder.nextRequest("registry", Demand, Now);
    for (; !Sent; Now = Now + DurationMs(50))
      Sent = Holder.nextRequest("registry", Demand, Now);
    RequestedMeters.push_back(Sent->Meter);
    Holder.onGrant(Sent->Meter, grant(Sent->Request.Sequence, 0), Now);
  }

  CHECK(RequestedMeters.front() == Near);
  CHECK(std::count(RequestedMeters.begin(), RequestedMeters.end(), Far) > 0);
}
