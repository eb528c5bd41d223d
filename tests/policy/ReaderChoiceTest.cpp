#include "policy/ReaderChoice.h"

#include "support/Property.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ReaderChoice){};

// Guards against a departing member changing readers other than itself, which
// would let ever new nodes read the platform.
TEST(ReaderChoice, ReplacesOnlyTheDepartedReader) {
  checkProperty(
      "only the departed reader is replaced",
      [](std::uint8_t Size, std::uint8_t DepartedIndex) {
        std::vector<std::string> Names;
        for (int I = 0; I <= Size; ++I)
          Names.push_back("node-" + std::to_string(I));
        std::vector<std::string_view> All(Names.begin(), Names.end());
        const auto Before = chooseReaders("recife", All, 2);
        const std::string Departed = Names[DepartedIndex % Names.size()];

        std::reverse(All.begin(), All.end());
        std::erase(All, Departed);
        const auto After = chooseReaders("recife", All, 2);

        RC_ASSERT(Before.size() == std::min<std::size_t>(2, Names.size()));
        for (const std::string &Reader : Before)
          RC_ASSERT(Reader == Departed || std::find(After.begin(), After.end(),
                                                    Reader) != After.end());
      });
}

TEST(ReaderChoice, LargeDomainsHaveMoreReaders) {
  LONGS_EQUAL(2, readerCount(3, 2));
  LONGS_EQUAL(3, readerCount(39, 2));
  LONGS_EQUAL(13, readerCount(220, 2));
}
