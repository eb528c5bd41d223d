#include "core/Compress.h"

#include "support/Property.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Compress){};

TEST(Compress, RoundTripsAndRejectsTruncatedInput) {
  checkProperty("round trip", [](const std::string &Piece) {
    std::string Text;
    for (int I = *rc::gen::inRange(0, 400); I > 0; --I)
      Text += Piece;
    const std::string Compressed = compress(Text);

    RC_ASSERT(decompress(Compressed, Text.size() + 1) == Text);
    const auto Cut = *rc::gen::inRange<std::size_t>(0, Compressed.size());
    RC_ASSERT(!decompress(Compressed.substr(0, Cut), Text.size() + 1));
    RC_ASSERT(Text.empty() || !decompress(Compressed, Text.size() - 1));
  });
}
