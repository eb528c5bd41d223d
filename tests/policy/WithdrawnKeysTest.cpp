#include "policy/WithdrawnKeys.h"

#include "calls/Call.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Snapshot configWith(std::initializer_list<const char *> Keys) {
  Snapshot Config;
  for (const char *Text : Keys)
    Config.Keys.push_back({Text, "clerks", Digest::sha256(Text)});
  return Config;
}

std::uint64_t mark(const char *Text) {
  return keyDigestPrefix(Digest::sha256(Text));
}

} // namespace

TEST_GROUP(WithdrawnKeys) { WithdrawnKeys Keys; };

TEST(WithdrawnKeys, ContainsKeysRemovedByTheLastVersion) {
  CHECK_FALSE(Keys.update(configWith({"a", "b"})));

  CHECK_TRUE(Keys.update(configWith({"b"})));

  CHECK_TRUE(Keys.contains(mark("a")));
  CHECK_FALSE(Keys.contains(mark("b")));
  // A newer configuration may contain a key that this node has never seen.
  CHECK_FALSE(Keys.contains(mark("c")));
}

TEST(WithdrawnKeys, KeyThatIsAddedAgainIsNoLongerWithdrawn) {
  Keys.update(configWith({"a"}));
  Keys.update(configWith({}));

  Keys.update(configWith({"a"}));

  CHECK_FALSE(Keys.contains(mark("a")));
}
