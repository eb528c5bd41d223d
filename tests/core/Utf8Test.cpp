#include "core/Utf8.h"

#include "support/Property.h"

#include <string>

// Before CppUTest, whose macro replaces new.
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

bool isJsonEncodable(const std::string &Bytes) {
  try {
    return !nlohmann::json(Bytes).dump().empty();
  } catch (const nlohmann::json::exception &) {
    return false;
  }
}

} // namespace

TEST_GROUP(Utf8){};

TEST(Utf8, AgreesWithJsonLibrary) {
  checkProperty("isUtf8(bytes) = bytes can be encoded as JSON", [] {
    // Bytes at the range boundaries of RFC 3629.
    const auto Bytes = *rc::gen::container<std::string>(rc::gen::element(
        'a', '\x80', '\x8f', '\x90', '\x9f', '\xa0', '\xbf', '\xc1', '\xc2',
        '\xdf', '\xe0', '\xed', '\xef', '\xf0', '\xf4', '\xf5', '\xff'));

    RC_ASSERT(isUtf8(Bytes) == isJsonEncodable(Bytes));
  });
}
