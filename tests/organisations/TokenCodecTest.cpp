#include "organisations/TokenCodec.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

double anyAmount() { return *rc::gen::inRange(0, 1'000'000'000) / 977.0; }

std::string anyName() {
  return *rc::gen::container<std::string>(*rc::gen::inRange(0, 60),
                                          rc::gen::arbitrary<char>());
}

TokenGrant anyGrant() {
  TokenGrant Grant;
  Grant.Organisation = anyName();
  Grant.Sequence = *rc::gen::arbitrary<std::uint64_t>();
  Grant.Tokens = anyAmount();
  Grant.Rate = anyAmount();
  Grant.Cap = anyAmount();
  Grant.Term = DurationMs(*rc::gen::inRange<std::int64_t>(0, 10'000));
  Grant.RequestDelay = DurationMs(*rc::gen::inRange<std::int64_t>(0, 10'000));
  Grant.TokenDelay = DurationMs(*rc::gen::inRange<std::int64_t>(0, 10'000));
  return Grant;
}

} // namespace

TEST_GROUP(TokenCodec){};

TEST(TokenCodec, DecodedGrantNeverExceedsTheEncodedOne) {
  checkProperty("decoded <= encoded, within rounding", [] {
    const TokenGrant Sent = anyGrant();

    const auto Got = decodeGrants(encodeGrants({&Sent, 1}));

    RC_ASSERT(Got.has_value());
    const TokenGrant &G = Got->at(0);
    RC_ASSERT(G.Organisation == Sent.Organisation);
    RC_ASSERT(G.Sequence == Sent.Sequence);
    RC_ASSERT(G.Term == Sent.Term && G.RequestDelay == Sent.RequestDelay);
    RC_ASSERT(G.TokenDelay == Sent.TokenDelay);
    RC_ASSERT(G.Tokens <= Sent.Tokens && G.Tokens >= Sent.Tokens * 0.999999);
    RC_ASSERT(G.Rate <= Sent.Rate && G.Rate >= Sent.Rate * 0.999999);
    RC_ASSERT(G.Cap <= Sent.Cap && G.Cap >= Sent.Cap * 0.999999);
  });
}

TEST(TokenCodec, DecodedRequestEqualsTheEncodedOne) {
  const TokenRequest Sent{"registry", 7, 5, 1.5, 0.25, 3};

  const auto Got = decodeTokenRequests(encodeTokenRequests({&Sent, 1}));

  CHECK(Got.has_value());
  LONGS_EQUAL(1, Got->size());
  CHECK(Got->front().Organisation == "registry");
  LONGS_EQUAL(7, Got->front().Sequence);
  LONGS_EQUAL(5, Got->front().ActiveSequence);
  DOUBLES_EQUAL(1.5, Got->front().Demand, 0);
  DOUBLES_EQUAL(0.25, Got->front().Held, 0);
  LONGS_EQUAL(3, Got->front().Need);
}

TEST(TokenCodec, MalformedBytesAreRejectedOrDecodeToValidAmounts) {
  checkProperty("no crash", [](const std::string &Bytes) {
    decodeTokenRequests(Bytes);
    decodeGrants(Bytes);
  });
  checkProperty(
      "truncated messages are rejected, altered ones rejected or valid", [] {
        const TokenGrant Sent = anyGrant();
        std::string Bytes = encodeGrants({&Sent, 1});
        const auto Cut = *rc::gen::inRange<std::size_t>(0, Bytes.size());
        RC_ASSERT(!decodeGrants(Bytes.substr(0, Cut)).has_value());
        Bytes[Cut] = *rc::gen::arbitrary<char>();
        if (const auto Got = decodeGrants(Bytes))
          for (const TokenGrant &G : *Got)
            RC_ASSERT(G.Tokens >= 0 && G.Rate >= 0 && G.Cap >= 0);
      });
}

TEST(TokenCodec, RejectsTooManyItemsAndInfiniteAmounts) {
  const std::vector<TokenRequest> Many(MaxTokenItems + 1);
  TokenGrant Endless;
  Endless.Tokens = std::numeric_limits<double>::infinity();

  CHECK_FALSE(decodeTokenRequests(encodeTokenRequests(Many)).has_value());
  CHECK_FALSE(decodeGrants(encodeGrants({&Endless, 1})).has_value());
}
