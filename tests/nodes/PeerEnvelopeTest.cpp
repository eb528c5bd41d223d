#include "nodes/PeerEnvelope.h"

#include "core/Digest.h"

#include "support/Property.h"

#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const std::string Secret = "fleet secret";

std::string sample(const std::string &Body) {
  return sealEnvelope({PeerKind::Fetch,
                       PeerPhase::Reply,
                       {"recife/archive-2", 7},
                       {1234567, 8},
                       Body},
                      Secret);
}

} // namespace

TEST_GROUP(PeerEnvelope) {
  ResultCode Reason = ResultCode::Ok;

  void expectRefused(const std::string &Bytes, ResultCode Expected) {
    CHECK_FALSE(openEnvelope(Bytes, Secret, Reason).has_value());
    LONGS_EQUAL(static_cast<int>(Expected), static_cast<int>(Reason));
  }
};

TEST(PeerEnvelope, OpensWhatItSealed) {
  checkProperty("open(seal(m)) = m",
                [](const std::string &Name, const std::string &Body,
                   std::uint64_t Incarnation) {
                  RC_PRE(Name.size() <= MaxPeerNameBytes);
                  const std::string Bytes = sealEnvelope({PeerKind::Tokens,
                                                          PeerPhase::Request,
                                                          {Name, Incarnation},
                                                          {5, 6},
                                                          Body},
                                                         Secret);

                  ResultCode Reason = ResultCode::Ok;
                  const auto Message = openEnvelope(Bytes, Secret, Reason);

                  RC_ASSERT(Message.has_value());
                  RC_ASSERT(Message->Kind == PeerKind::Tokens);
                  RC_ASSERT(Message->Sender.Name == Name);
                  RC_ASSERT(Message->Sender.Incarnation == Incarnation);
                  RC_ASSERT(Message->Stamp == HybridTime({5, 6}));
                  RC_ASSERT(Message->Body == Body);
                });
}

TEST(PeerEnvelope, RefusesEveryAlteredOrTruncatedMessage) {
  checkProperty("any change breaks the seal",
                [](const std::string &Body, std::size_t Offset,
                   std::uint8_t Flip, bool Truncate) {
                  std::string Bytes = sample(Body);
                  Offset %= Bytes.size();
                  if (Truncate)
                    Bytes.resize(Offset);
                  else
                    Bytes[Offset] =
                        static_cast<char>(Bytes[Offset] ^ (Flip | 1));

                  ResultCode Reason = ResultCode::Ok;
                  RC_ASSERT(!openEnvelope(Bytes, Secret, Reason).has_value());
                  RC_ASSERT(Reason != ResultCode::Ok);
                });
}

// Bytes with a valid seal can still be malformed, since another program may
// know the secret.
TEST(PeerEnvelope, RefusesMalformedBytesWithAValidSeal) {
  checkProperty("sealed random bytes are refused or decode",
                [](const std::vector<std::uint8_t> &RandomBytes) {
                  std::string Bytes(1, static_cast<char>(PeerWireVersion));
                  Bytes.append(RandomBytes.begin(), RandomBytes.end());
                  const Digest Seal = Digest::hmacSha256(Secret, Bytes);
                  Bytes.append(
                      reinterpret_cast<const char *>(Seal.Bytes.data()),
                      PeerSealBytes);

                  ResultCode Reason = ResultCode::Ok;
                  const auto Message = openEnvelope(Bytes, Secret, Reason);

                  RC_ASSERT(Message.has_value() ||
                            Reason == ResultCode::PeerMessageMalformed);
                });
}

TEST(PeerEnvelope, ReportsTheReasonForARefusal) {
  std::string OtherVersion = sample("x");
  OtherVersion[0] = 9;

  expectRefused("short", ResultCode::PeerMessageMalformed);
  expectRefused(OtherVersion, ResultCode::PeerVersionUnknown);
  expectRefused(std::string(MaxPeerMessageBytes + 1, 'x'),
                ResultCode::PeerMessageTooLarge);
  expectRefused(sealEnvelope({}, "another fleet"), ResultCode::PeerSealInvalid);
}
