#include "platform/StoreCodec.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::platform;

namespace {

constexpr const char *ValidTargetEntry =
    R"({"service":"queue","address":"10.0.0.9:8080","zone":"east",
        "version":"v1","slots":6,"state":"ready","warmup_left_s":1.5,
        "sequence":4,"born":1700000000000})";

} // namespace

TEST_GROUP(StoreCodec){};

TEST(StoreCodec, DecodesAPageWithTheSubjectOfEachItem) {
  const auto Read = decodePage(
      R"({"items":[
        {"key":"op/config","value":"e30=","revision":4,"created":1,"lease_id":0},
        {"key":"op/evacuate/east","value":"e30=","revision":5,"created":5,"lease_id":0},
        {"key":"servers/i-1","value":"","revision":6,"created":6,"lease_id":1},
        {"key":"else","value":"YQ==","revision":7,"created":7,"lease_id":0}],
        "has_more":true,"at":9})");

  CHECK(ResultCode::Ok == Read.Reason);
  const StorePage &Page = *Read.Value;
  LONGS_EQUAL(9, Page.Revision);
  CHECK_TRUE(Page.HasMore);
  CHECK(StoreSubject::Configuration == Page.Items[0].Subject);
  STRCMP_EQUAL("{}", Page.Items[0].Value.c_str());
  CHECK(StoreSubject::DomainOut == Page.Items[1].Subject);
  STRCMP_EQUAL("east", Page.Items[1].Name.c_str());
  CHECK(StoreSubject::Target == Page.Items[2].Subject);
  STRCMP_EQUAL("i-1", Page.Items[2].Name.c_str());
  CHECK(StoreSubject::Other == Page.Items[3].Subject);
}

TEST(StoreCodec, DecodesChangesAndRemovals) {
  const auto Read = decodeChanges(
      R"({"events":[{"key":"servers/i-1","revision":12,"removed":true}],"at":13})");

  CHECK(ResultCode::Ok == Read.Reason);
  LONGS_EQUAL(13, Read.Value->Revision);
  CHECK_TRUE(Read.Value->Changes.at(0).Removed);
  LONGS_EQUAL(12, Read.Value->Changes.at(0).Revision);
}

TEST(StoreCodec, RejectsAMalformedAnswer) {
  for (const char *MalformedAnswer :
       {"", "[]", "{", R"({"items":[]})", R"({"items":{},"at":1})",
        R"({"items":[{"key":"a","value":"?","revision":1}],"at":1})",
        R"({"items":[{"key":"a","value":"YQ==","revision":-1}],"at":1})"})
    CHECK_TEXT(ResultCode::PlatformMalformed ==
                   decodePage(MalformedAnswer).Reason,
               MalformedAnswer);
}

TEST(StoreCodec, DecodesATargetEntry) {
  const auto Read = decodeTarget("i-1", ValidTargetEntry, 7001);

  CHECK_TRUE(Read.has_value());
  STRCMP_EQUAL("10.0.0.9", Read->Name.c_str());
  STRCMP_EQUAL("10.0.0.9:7001", Read->PeerAddress.c_str());
  STRCMP_EQUAL("10.0.0.9:8080", Read->TargetAddress.c_str());
  STRCMP_EQUAL("i-1", Read->TargetId.c_str());
  LONGS_EQUAL(6, Read->Slots);
  LONGS_EQUAL(1500, Read->ColdFor.Value);
  CHECK(Read->StartedAtMs == 1'700'000'000'000);
  CHECK(ListedState::Live == Read->State);
}

// Other writers may put arbitrary entries under the prefix of targets. Those
// must not become targets.
TEST(StoreCodec, RejectsATargetEntryWithAMissingOrInvalidField) {
  const std::string ValidEntry = ValidTargetEntry;
  const std::pair<std::string, std::string> Changes[] = {
      {"\"queue\"", "7"},
      {"\"10.0.0.9:8080\"", "\"nowhere\""},
      {"\"east\"", "null"},
      {"6,", "\"6\","},
      {"6,", "0,"},
      {"\"ready\"", "\"gone\""},
      {"1.5", "\"soon\""},
      {"\"state\"", "\"condition\""},
      {"\"slots\"", "\"slot\""}};
  for (const auto &[ValidText, InvalidText] : Changes) {
    std::string Entry = ValidEntry;
    Entry.replace(Entry.find(ValidText), ValidText.size(), InvalidText);
    CHECK_TEXT(!decodeTarget("i-1", Entry, 7001), Entry.c_str());
  }
  CHECK_FALSE(decodeTarget("i-1", "\xff\xfe", 7001).has_value());
}
