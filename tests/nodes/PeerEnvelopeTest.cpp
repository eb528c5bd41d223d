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

TEST(PeerEnvelope, ReadsWhatItSealed) {
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
                  RC_ASSERT(Message->From.Name == Name);
                  RC_ASSERT(Message->From.Incarnation == Incarnation);
                  RC_ASSERT(Message->Stamp == HybridTime({5, 6}));
                  RC_ASSERT(Message->Body == Body);
                });
}

TEST(PeerEnvelope, RefusesEveryAlteredOrTruncatedMessage) {
  checkProperty("any change breaks the seal",
                [](const std::string &Body, std::size_t Where,
                   std::uint8_t Flip, bool Cut) {
                  std::string Bytes = sample(Body);
                  Where %= Bytes.size();
                  if (Cut)
                    Bytes.resize(Where);
                  else
                    Bytes[Where] = static_cast<char>(Bytes[Where] ^ (Flip | 1));

                  ResultCode Reason = ResultCode::Ok;
                  RC_ASSERT(!openEnvelope(Bytes, Secret, Reason).has_value());
                  RC_ASSERT(Reason != ResultCode::Ok);
                });
}

// Bytes behind a valid seal can still be wrong: another program may know the
// secret.
TEST(PeerEnvelope, NeverCrashesOnSealedNoise) {
  checkProperty("sealed noise", [](const std::vector<std::uint8_t> &Noise) {
    std::string Bytes(1, static_cast<char>(PeerWireVersion));
    Bytes.append(Noise.begin(), Noise.end());
    const Digest Seal = Digest::keyed(Secret, Bytes);
    Bytes.append(reinterpret_cast<const char *>(Seal.Bytes.data()),
                 PeerSealBytes);

    ResultCode Reason = ResultCode::Ok;
    const auto Message = openEnvelope(Bytes, Secret, Reason);

    RC_ASSERT(Message.has_value() ||
              Reason == ResultCode::PeerMessageMalformed);
  });
}

TEST(PeerEnvelope, SaysWhyItRefused) {
  std::string OtherVersion = sample("x");
  OtherVersion[0] = 9;

  expectRefused("short", ResultCode::PeerMessageMalformed);
  expectRefused(OtherVersion, ResultCode::PeerVersionUnknown);
  expectRefused(std::string(MaxPeerMessageBytes + 1, 'x'),
                ResultCode::PeerMessageTooLarge);
  expectRefused(sealEnvelope({}, "another fleet"), ResultCode::PeerSealInvalid);
}
