#include "support/Property.h"

#include "nodes/PeerFrame.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(PeerFrame){};

TEST(PeerFrame, RoundTripsAHeader) {
  checkProperty(
      "any size and number", [](std::uint32_t Size, std::uint32_t Number) {
        const std::string Bytes = packFrameHeader({Size, Number});

        const PeerFrameHeader Read = readFrameHeader(Bytes + "message");

        RC_ASSERT(Bytes.size() == PeerFrameHeaderBytes);
        RC_ASSERT(Read.Size == Size);
        RC_ASSERT(Read.Number == Number);
      });
}

TEST(PeerFrame, UsesNetworkByteOrder) {
  const std::string Bytes = packFrameHeader({0x01020304, 0x0a0b0c0d});

  CHECK(std::string("\x01\x02\x03\x04\x0a\x0b\x0c\x0d", 8) == Bytes);
}
