#include "policy/WithdrawnKeys.h"

#include "calls/Call.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

Snapshot with(std::initializer_list<const char *> Keys) {
  Snapshot Config;
  for (const char *Text : Keys)
    Config.Keys.push_back({Text, "clerks", Digest::of(Text)});
  return Config;
}

std::uint64_t mark(const char *Text) {
  return keyDigestPrefix(Digest::of(Text));
}

} // namespace

TEST_GROUP(WithdrawnKeys) { WithdrawnKeys Keys; };

TEST(WithdrawnKeys, KnowsWhatTheLastVersionTookAway) {
  CHECK_FALSE(Keys.update(with({"a", "b"})));

  CHECK_TRUE(Keys.update(with({"b"})));

  CHECK_TRUE(Keys.contains(mark("a")));
  CHECK_FALSE(Keys.contains(mark("b")));
  // A key that this node has not heard of yet may have been granted since.
  CHECK_FALSE(Keys.contains(mark("c")));
}

TEST(WithdrawnKeys, KeyThatIsGrantedAgainWorksAgain) {
  Keys.update(with({"a"}));
  Keys.update(with({}));

  Keys.update(with({"a"}));

  CHECK_FALSE(Keys.contains(mark("a")));
}
