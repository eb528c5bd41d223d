#include "core/Digest.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Digest){};

TEST(Digest, Sha256MatchesPublishedVector) {
  // FIPS 180-4, example for SHA-256.
  STRCMP_EQUAL(
      "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad",
      Digest::sha256("abc").hex().c_str());
}

TEST(Digest, HmacMatchesPublishedVector) {
  // RFC 4231, test case 2.
  STRCMP_EQUAL(
      "5bdcc146bf60754e6a042426089575c75a003f089d2739839dec58b964ec3843",
      Digest::hmacSha256("Jefe", "what do ya want for nothing?").hex().c_str());
}

TEST(Digest, RejectsMalformedHex) {
  CHECK_FALSE(Digest::fromHex("").has_value());
  CHECK_FALSE(Digest::fromHex(std::string(63, 'a')).has_value());
  CHECK_FALSE(Digest::fromHex(std::string(64, 'g')).has_value());
}

TEST(Digest, RoundTripsThroughHex) {
  checkProperty("fromHex(hex(d)) = d", [](const std::string &Data) {
    const Digest Value = Digest::sha256(Data);
    RC_ASSERT(Digest::fromHex(Value.hex()) == Value);
  });
}
