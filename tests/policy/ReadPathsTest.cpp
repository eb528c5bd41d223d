#include "policy/ReadPaths.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ReadPaths) {
  ReadPaths Paths;
  TimeMs Now{1000};

  std::string next() { return Paths.next(Now).value_or("store"); }
};

TEST(ReadPaths, ReaderReadsTheStoreAndHasAlternatives) {
  Paths.update(true, {"a"});

  STRCMP_EQUAL("store", next().c_str());
  STRCMP_EQUAL("a", Paths.alternative(Now)->c_str());
}

TEST(ReadPaths, AsksTheReadersInTurn) {
  Paths.update(false, {"a", "b"});

  STRCMP_EQUAL("a", next().c_str());
  STRCMP_EQUAL("b", next().c_str());
  STRCMP_EQUAL("a", next().c_str());
}

TEST(ReadPaths, AvoidsAReaderThatFailsLongerEachTime) {
  Paths.update(false, {"a", "b"});
  Paths.onFailed("a", Now);

  STRCMP_EQUAL("b", next().c_str());
  STRCMP_EQUAL("b", next().c_str());
  Paths.onAnswered("b");
  Now = Now + DurationMs(1000);
  STRCMP_EQUAL("a", next().c_str());
  Paths.onFailed("a", Now);
  Now = Now + DurationMs(1000);
  STRCMP_EQUAL("b", next().c_str());
  STRCMP_EQUAL("b", next().c_str());
}

TEST(ReadPaths, ReadsTheStoreWhileEveryReaderIsAvoided) {
  Paths.update(false, {"a"});
  Paths.onFailed("a", Now);

  STRCMP_EQUAL("store", next().c_str());
  Paths.update(false, {"a", "b"});
  STRCMP_EQUAL("b", next().c_str());
}

// Each of them may cost the whole timeout.
TEST(ReadPaths, ReadsTheStoreAfterTwoReadersThatFailed) {
  Paths.update(false, {"a", "b", "c"});
  Paths.onFailed("a", Now);
  Paths.onFailed("b", Now);
  STRCMP_EQUAL("store", next().c_str());

  STRCMP_EQUAL("c", next().c_str());
  Paths.onFailed("c", Now);
  STRCMP_EQUAL("store", next().c_str());
  Paths.onAnswered("c");
  Now = Now + DurationMs(1000);
  STRCMP_EQUAL("a", next().c_str());
}

TEST(ReadPaths, ReadsTheStoreWithoutOtherNodes) {
  Paths.update(false, {});

  STRCMP_EQUAL("store", next().c_str());
  CHECK(!Paths.alternative(Now).has_value());
}
