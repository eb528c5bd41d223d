#include "sources/PlatformCodec.h"

#include "ini/IniReader.h"

#include "support/Property.h"

#include <string>

// Before CppUTest, whose macro replaces new.
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using Json = nlohmann::json;

namespace {

Json intentJson() {
  const IntentBundle Bundle{5,
                            {{"10-a.ini", "[service a]\n"}, {"20-b.ini", ""}}};
  Json Files = Json::array();
  for (const IntentFile &F : Bundle.Files)
    Files.push_back({{"name", F.Name},
                     {"sha256", Digest::sha256(F.Text).hex()},
                     {"text", F.Text}});
  return {{"revision", 5},
          {"digest", Bundle.version().Content.hex()},
          {"files", Files}};
}

Json instanceRow(const char *Name) {
  return {{"name", Name},    {"domain", "recife"},
          {"service", "a"},  {"slot", 2},
          {"state", "live"}, {"peer_address", "127.10.0.1:7000"}};
}

} // namespace

TEST_GROUP(PlatformCodec){ResultCode intentReason(const Json &Answer){
    const auto Read = decodeIntent(Answer.dump());
CHECK_FALSE(Read.Value.has_value());
return Read.Reason;
}

std::size_t rowsLeftOut(const Json &Rows) {
  const Json Answer{{"revision", 1}, {"instances", Rows}};
  return decodeInstances(Answer.dump()).Value.value().SkippedRows;
}
}
;

TEST(PlatformCodec, DecodesACompleteIntent) {
  const auto Read = decodeIntent(intentJson().dump());

  LONGS_EQUAL(5, Read.Value->Revision);
  STRCMP_EQUAL("[service a]\n", Read.Value->Files.at(0).Text.c_str());
}

TEST(PlatformCodec, RefusesATornIntent) {
  Json OtherText = intentJson();
  OtherText["files"][0]["text"] = "[service b]\n";
  Json LostFile = intentJson();
  LostFile["files"].erase(1);
  Json OtherName = intentJson();
  OtherName["files"][0]["name"] = "11-a.ini";

  for (const Json &Torn : {OtherText, LostFile, OtherName})
    CHECK(ResultCode::PlatformTorn == intentReason(Torn));
}

TEST(PlatformCodec, RefusesAMalformedIntent) {
  for (const char *Name : {"revision", "digest", "files"}) {
    Json Missing = intentJson();
    Missing.erase(Name);
    Json Wrong = intentJson();
    Wrong[Name] = -1;
    CHECK(ResultCode::PlatformMalformed == intentReason(Missing));
    CHECK(ResultCode::PlatformMalformed == intentReason(Wrong));
  }
}

TEST(PlatformCodec, RefusesDeepNesting) {
  const std::string Deep(MaxAnswerBytes, '[');

  CHECK(ResultCode::PlatformMalformed == decodeIntent(Deep).Reason);
  CHECK(ResultCode::PlatformMalformed == decodeInstances(Deep).Reason);
}

TEST(PlatformCodec, RefusesOrIgnoresAnyChangeOfAnAnswer) {
  checkProperty("a changed answer is refused or decodes to the same files", [] {
    const std::string Original = intentJson().dump();
    std::string Text = Original;
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Text.size());
    if (*rc::gen::arbitrary<bool>())
      Text[Offset] = *rc::gen::arbitrary<char>();
    else
      Text.resize(Offset);

    const auto Read = decodeIntent(Text);

    if (!Read.Value)
      RC_ASSERT(Read.Reason != ResultCode::Ok);
    else
      RC_ASSERT(Read.Value->Files == decodeIntent(Original).Value->Files);
  });
}

TEST(PlatformCodec, NeverReturnsMalformedRowsOfAChangedList) {
  checkProperty("a changed list is refused or holds well-formed rows", [] {
    const Json Answer{{"revision", 1},
                      {"instances", {instanceRow("a"), instanceRow("b")}}};
    std::string Text = Answer.dump();
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Text.size());
    Text[Offset] = *rc::gen::arbitrary<char>();

    const auto Read = decodeInstances(Text);

    RC_ASSERT(Read.Value.has_value() == (Read.Reason == ResultCode::Ok));
    for (const ListedInstance &I :
         Read.Value.value_or(InstanceList()).Instances) {
      RC_ASSERT(isIniName(I.Name));
      RC_ASSERT(Endpoint::parse(I.PeerAddress).has_value());
    }
  });
}

TEST(PlatformCodec, SkipsMalformedAndRepeatedRows) {
  LONGS_EQUAL(0, rowsLeftOut({instanceRow("a"), instanceRow("b")}));
  LONGS_EQUAL(1, rowsLeftOut({instanceRow("a"), instanceRow("a")}));
  for (const char *Name :
       {"name", "domain", "service", "slot", "state", "peer_address"}) {
    Json Row = instanceRow("a");
    Row[Name] = "?";
    LONGS_EQUAL(1, rowsLeftOut({instanceRow("b"), Row}));
  }
}

TEST(PlatformCodec, SkipsANestedRowAndOneWithANumberThatIsTooLarge) {
  for (const std::string Odd : {"[[[[[[]]]]]]", R"({"slot":1e999})", "\"\xff\"",
                                R"({"name":{"a":[[[[[]]]]]}})"}) {
    const auto Read = decodeInstances(R"({"revision":1,"instances":[)" +
                                      instanceRow("a").dump() + "," + Odd +
                                      "," + instanceRow("b").dump() + "]}");
    CHECK_TEXT(Read.Value.has_value(), Odd.c_str());
    LONGS_EQUAL(2, Read.Value->Instances.size());
    LONGS_EQUAL(1, Read.Value->SkippedRows);
  }
}
