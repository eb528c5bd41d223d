#include "core/JsonText.h"

#include "support/Property.h"

#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

/// The elements of an array, separated by bars; "no array" for another text.
std::string elementsOf(std::string_view Text) {
  std::string Result;
  const bool IsArray = forEachJsonElement(Text, [&](std::string_view Element) {
    Result += std::string(Element) + "|";
  });
  return IsArray ? Result : "no array";
}

} // namespace

TEST_GROUP(JsonText){};

TEST(JsonText, ParsesUpToTheGivenNesting) {
  CHECK_TRUE(parseJson("[[1]]", 2).is_array());
  CHECK_TRUE(parseJson("[[1]]", 1).is_discarded());
  CHECK_TRUE(parseJson(R"({"a":{"b":"[[["}})", 2).is_object());
  CHECK_TRUE(parseJson(" 7 ", 0).is_number_unsigned());
  for (const char *Text : {"", " ", "[", "]", "1 2", "1e999", "\"\xff\"", "{]"})
    CHECK_TEXT(parseJson(Text, 2).is_discarded(), Text);
}

TEST(JsonText, FindsTheElementsOfAnArray) {
  STRCMP_EQUAL("", elementsOf(" [ ] ").c_str());
  STRCMP_EQUAL(R"(1e999|"a,]\"["|[1,[2]]|{"b":[]}|)",
               elementsOf(R"([1e999, "a,]\"[",[1,[2]] ,{"b":[]}])").c_str());
  for (const char *Text :
       {"", "{}", "[1", "[1,]", "[,1]", "[1 2]", "[1]]", "[\"a]", "[[1]"})
    STRCMP_EQUAL_TEXT("no array", elementsOf(Text).c_str(), Text);
}

TEST(JsonText, FindsTheMembersOfAnObject) {
  const auto Found =
      jsonMembers(R"({"a": 1e999, "b":{"a":2},"c":"}","a" :3})", {"a", "b"});

  LONGS_EQUAL(2, Found->size());
  CHECK_TRUE(memberText(*Found, "a") == "3");
  CHECK_TRUE(memberText(*Found, "b") == R"({"a":2})");
  CHECK_TRUE(memberText(*Found, "c").empty());
  for (const char *Text : {"", "[]", "{", R"({"a"})", R"({"a":})", R"({a:1})",
                           R"({"a":1,})", R"({"a":1}})", R"({"a" 1})"})
    CHECK_TEXT(!jsonMembers(Text, {"a"}), Text);
}

TEST(JsonText, FindsInAnyArrayWhatTheParserFinds) {
  checkProperty("elements are those of the parsed array", [] {
    const auto Texts = *rc::gen::container<std::vector<std::string>>(
        rc::gen::container<std::string>(rc::gen::inRange(' ', '\x7f')));
    const nlohmann::json Array = Texts;
    std::vector<std::string> Found;
    const bool IsArray =
        forEachJsonElement(Array.dump(), [&Found](std::string_view Element) {
          Found.push_back(parseJson(Element, 0).get<std::string>());
        });
    RC_ASSERT(IsArray);
    RC_ASSERT(Found == Texts);
  });
}

TEST(JsonText, NoBytesThrow) {
  checkProperty("any text is read or refused", [] {
    const auto Text = *rc::gen::container<std::string>(rc::gen::element(
        '[', ']', '{', '}', '"', '\\', ',', ':', 'a', '1', ' ', '\0', '\xff'));
    parseJson(Text, 2);
    elementsOf(Text);
    jsonMembers(Text, {"a"});
  });
}
