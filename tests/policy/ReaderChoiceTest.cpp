#include "policy/ReaderChoice.h"

#include "support/Property.h"

#include <algorithm>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ReaderChoice){};

// A member that goes moves its own place at most, so that the platform is not
// asked by ever new readers.
TEST(ReaderChoice, MovesOnlyThePlaceOfTheMemberThatGoes) {
  checkProperty("rendezvous", [](std::uint8_t Size, std::uint8_t Gone) {
    std::vector<std::string> Names;
    for (int I = 0; I <= Size; ++I)
      Names.push_back("node-" + std::to_string(I));
    std::vector<std::string_view> All(Names.begin(), Names.end());
    const auto Before = chooseReaders("recife", All, 2);
    const std::string Leaver = Names[Gone % Names.size()];

    std::reverse(All.begin(), All.end());
    std::erase(All, Leaver);
    const auto After = chooseReaders("recife", All, 2);

    RC_ASSERT(Before.size() == std::min<std::size_t>(2, Names.size()));
    for (const std::string &Reader : Before)
      RC_ASSERT(Reader == Leaver ||
                std::find(After.begin(), After.end(), Reader) != After.end());
  });
}
