#include "platform/StoreCodec.h"

#include "nodes/ControlMessages.h"
#include "support/PeakMemory.h"
#include "support/Property.h"

#include <limits>
#include <string>
#include <utility>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::platform;

namespace {

constexpr const char *ValidTargetEntry =
    R"({"service":"queue","address":"10.0.0.9:8080","zone":"east",
        "version":"v1","slots":6,"state":"ready","warmup_left_s":1.5,
        "sequence":4,"born":1700000000000})";

/// Memory that reading one value may take at its peak, in KiB. The smallest
/// machine of a node has 88 MB.
constexpr long MaxReadingKiB = 12 * 1024;

constexpr std::size_t MaxValueBytes = 1024 * 1024;

/// A value of the largest size whose nesting never ends, and one that is well
/// formed.
std::vector<std::string> nestedTexts() {
  std::string Objects;
  while (Objects.size() < MaxValueBytes)
    Objects += R"({"a":)";
  return {std::string(MaxValueBytes, '['), Objects,
          std::string(MaxValueBytes / 2, '[') +
              std::string(MaxValueBytes / 2, ']')};
}

std::string replaced(std::string Text, std::string_view Old,
                     std::string_view New) {
  return Text.replace(Text.find(Old), Old.size(), New);
}

std::string item(const std::string &Key, std::uint64_t Revision) {
  return R"({"key":")" + Key + R"(","value":"YQ==","revision":)" +
         std::to_string(Revision) + R"(,"created":1,"lease_id":0})";
}

/// Items that cannot be read, although the answer around them can.
std::vector<std::string> unreadableItems() {
  const std::string Odd = item("servers/i-odd", 5);
  std::vector<std::string> Result = {
      "7",
      "null",
      "[]",
      R"("text")",
      "{}",
      replaced(Odd, R"("key":"servers/i-odd",)", ""),
      replaced(Odd, R"("servers/i-odd")", "3"),
      replaced(Odd, "i-odd", "i-\xff"),
      replaced(Odd, R"("value":"YQ==",)", ""),
      replaced(Odd, "YQ==", "Y"),
      replaced(Odd, "YQ==", "?Q=="),
      replaced(Odd, "YQ==", "\xff\xfe=="),
      replaced(Odd, R"("YQ==")", "{}"),
      replaced(Odd, R"("revision":5,)", ""),
      replaced(Odd, "i-odd", std::string(300, 'i')),
      replaced(Odd, "i-odd", "i\\r\\nX: y")};
  for (const char *Number :
       {"-1", "1.5", "1e999", "1e308", "99999999999999999999", "\"5\""})
    Result.push_back(
        replaced(Odd, "\"revision\":5", std::string("\"revision\":") + Number));
  return Result;
}

/// Whether an answer's items are those of before and after an odd one, and the
/// odd one, if it is there at all, names no target that could be used.
bool holdsOnlyTheOthers(const std::vector<StoreChange> &Items) {
  std::vector<std::string> Names;
  for (const StoreChange &Item : Items)
    if (Item.Subject == StoreSubject::Target && !Item.Value.empty())
      Names.push_back(Item.Name);
  return Names == std::vector<std::string>{"i-1", "i-2"};
}

std::string answerWith(const std::string &Name, const std::string &Odd) {
  return R"({")" + Name + R"(":[)" + item("servers/i-1", 4) + "," + Odd + "," +
         item("servers/i-2", 6) + R"(],"has_more":false,"at":9})";
}

/// Whether the record of a listed target may stand in a message between nodes.
bool fitsIntoGossip(const ListedInstance &Listed) {
  MemberRecord Record;
  Record.Place = {Listed.Name, Listed.Domain,      Listed.Service,
                  Listed.Slot, Listed.PeerAddress, TargetState::Cold};
  ExchangeMessage Message;
  Message.Rumours = {Record};
  return unpackExchange(packExchange(Message)).has_value();
}

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
        R"({"items":[],"at":-1})", R"({"items":[],"at":1e999})",
        R"({"items":[],"at":1)", R"({"items":[{],"at":1})",
        R"({"items":[1 2],"at":1})", R"({"items":[],"at":1}])"})
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

// Only one writer is at fault. Refusing the answer for it would keep the node
// from all other items.
TEST(StoreCodec, LeavesOutAnUnreadableItemOfAPage) {
  for (const std::string &Odd : unreadableItems()) {
    const auto Read = decodePage(answerWith("items", Odd));

    CHECK_TEXT(Read.Value.has_value(), Odd.c_str());
    CHECK_TEXT(holdsOnlyTheOthers(Read.Value->Items), Odd.c_str());
    LONGS_EQUAL(9, Read.Value->Revision);
  }
}

TEST(StoreCodec, LeavesOutAnUnreadableItemOfAWatch) {
  for (const std::string &Odd : unreadableItems()) {
    const auto Read = decodeChanges(answerWith("events", Odd));

    CHECK_TEXT(Read.Value.has_value(), Odd.c_str());
    CHECK_TEXT(holdsOnlyTheOthers(Read.Value->Changes), Odd.c_str());
    LONGS_EQUAL(9, Read.Value->Revision);
  }
}

TEST(StoreCodec, LeavesOutANestedItemWithinBoundedMemory) {
  for (const std::string &Nested :
       {std::string(MaxValueBytes, '[') + std::string(MaxValueBytes, ']'),
        R"({"key":"servers/i-odd","value":)" + std::string(MaxValueBytes, '[') +
            std::string(MaxValueBytes, ']') + R"(,"revision":5})"}) {
    const std::string Answer = answerWith("items", Nested);
    const auto Growth = peakGrowthKiB([&Answer] { decodePage(Answer); });

    CHECK_TRUE(Growth.has_value());
    CHECK_TRUE_TEXT(*Growth <= MaxReadingKiB, std::to_string(*Growth).c_str());
    const auto Read = decodePage(Answer);
    CHECK_TRUE(Read.Value && holdsOnlyTheOthers(Read.Value->Items));
  }
}

TEST(StoreCodec, RejectsANestedEntryWithinBoundedMemory) {
  for (const std::string &Nested : nestedTexts()) {
    for (const std::string &Entry :
         {Nested, replaced(ValidTargetEntry, "\"v1\"", Nested),
          replaced(ValidTargetEntry, "\"queue\"", Nested)}) {
      const auto Growth =
          peakGrowthKiB([&Entry] { decodeTarget("i-1", Entry, 7001); });

      CHECK_TRUE(Growth.has_value());
      CHECK_TRUE_TEXT(*Growth <= MaxReadingKiB,
                      std::to_string(*Growth).c_str());
      CHECK_FALSE(decodeTarget("i-1", Entry, 7001).has_value());
    }
  }
}

TEST(StoreCodec, RejectsAnEntryWithANumberThatIsTooLarge) {
  const auto WithNumber = [](std::string_view Member, std::string_view Number) {
    const auto Name = Member.substr(0, Member.find(':') + 1);
    return replaced(ValidTargetEntry, Member, std::string(Name).append(Number));
  };
  for (const char *Member : {R"("slots":6)", R"("warmup_left_s":1.5)",
                             R"("sequence":4)", R"("born":1700000000000)"}) {
    for (const char *Number : {"1e999", "-1e999", "1e308", "-1",
                               "99999999999999999999", "\"4\"", "null"}) {
      const std::string Entry = WithNumber(Member, Number);
      CHECK_TEXT(!decodeTarget("i-1", Entry, 7001), Entry.c_str());
    }
  }
  for (const char *Slots : {"1.5", "65536", "18446744073709551615"}) {
    const std::string Entry = WithNumber(R"("slots":6)", Slots);
    CHECK_TEXT(!decodeTarget("i-1", Entry, 7001), Slots);
  }
  const std::string LateStart =
      WithNumber(R"("born":1700000000000)", "18446744073709551615");
  CHECK_TRUE(decodeTarget("i-1", LateStart, 7001).has_value());
}

TEST(StoreCodec, RejectsAnEntryWithAPortThatCannotBeUsed) {
  for (const char *Address : {"10.0.0.9:99999",
                              "10.0.0.9:65536",
                              "10.0.0.9:0",
                              "10.0.0.9:00",
                              "10.0.0.9:-1",
                              "10.0.0.9:+80",
                              "10.0.0.9:",
                              "10.0.0.9",
                              ":8080",
                              "10.0.0.9:80x",
                              "10.0.0.9: 80",
                              "10.0.0.9:8e1",
                              "host:8080",
                              "10.0.0.256:8080",
                              "::1:8080",
                              "[::1]",
                              "[::1]:0",
                              "[::1]:70000",
                              "10.0.0.9:8080\\u0000",
                              "10.0.0.9:99999999999999999999"}) {
    const std::string Entry =
        replaced(ValidTargetEntry, "10.0.0.9:8080", Address);
    CHECK_TEXT(!decodeTarget("i-1", Entry, 7001), Address);
  }
}

// Nodes compare addresses as texts.
TEST(StoreCodec, SpellsThePortOfATargetInOneWay) {
  const auto Read =
      decodeTarget("i-1", replaced(ValidTargetEntry, ":8080", ":08080"), 7001);

  STRCMP_EQUAL("10.0.0.9:8080", Read->TargetAddress.c_str());
}

TEST(StoreCodec, DecodesAnAddressOfIpVersion6) {
  const auto Read = decodeTarget(
      "i-1", replaced(ValidTargetEntry, "10.0.0.9:8080", "[::1]:8080"), 7001);

  STRCMP_EQUAL("[::1]:7001", Read->PeerAddress.c_str());
  STRCMP_EQUAL("[::1]:8080", Read->TargetAddress.c_str());
}

// A node refuses a whole message of gossip for one record that is out of
// bounds, so no entry may lead to such a record.
TEST(StoreCodec, RejectsAnEntryWithAnUnreadableName) {
  for (const std::string &Name :
       {std::string(), std::string(129, 'n'), std::string(200, 'n'),
        std::string("a\\r\\nb"), std::string("a\\u0000")}) {
    for (const char *Field : {"queue", "east"}) {
      const std::string Entry = replaced(ValidTargetEntry, Field, Name);
      const auto Read = decodeTarget("i-1", Entry, 7001);
      CHECK_TEXT(!Read || fitsIntoGossip(*Read), Entry.c_str());
      CHECK_TEXT(!Read, Entry.c_str());
    }
  }
  for (const std::string &Id :
       {std::string(), std::string(129, 'i'), std::string("i\r\nX: y")})
    CHECK_TEXT(!decodeTarget(Id, ValidTargetEntry, 7001), Id.c_str());
}

TEST(StoreCodec, AnyEntryIsUnreadableOrFitsIntoGossip) {
  checkProperty("a changed entry is refused or may be passed on", [] {
    std::string Entry = ValidTargetEntry;
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Entry.size());
    const auto Length =
        *rc::gen::inRange<std::size_t>(0, Entry.size() - Offset);
    Entry.replace(Offset, Length, *rc::gen::arbitrary<std::string>());
    const auto Read = decodeTarget("i-1", Entry, 7001);
    const bool IsHarmless = !Read || fitsIntoGossip(*Read);
    RC_ASSERT(IsHarmless);
  });
}

TEST(StoreCodec, NoUnreadableValueChangesTheOtherItems) {
  checkProperty("an odd member of one item leaves the others as they are", [] {
    const auto Name =
        *rc::gen::element<std::string>("key", "value", "revision", "removed");
    const auto Value = *rc::gen::element<std::string>(
        "1e999", "-1", "[[[[]]]]", "{\"a\":{}}", "\"\xff\"", "\"\\ud800\"",
        "nul", "\"]},{\"", "18446744073709551616", "{\"b\":[1e999]}");
    const std::string Odd = R"({"key":"servers/i-odd","revision":5,")" + Name +
                            R"(":)" + Value + "}";
    const auto Page = decodePage(answerWith("items", Odd));
    RC_ASSERT(Page.Value.has_value());
    RC_ASSERT(holdsOnlyTheOthers(Page.Value->Items));
    const auto Watch = decodeChanges(answerWith("events", Odd));
    RC_ASSERT(Watch.Value.has_value());
    RC_ASSERT(holdsOnlyTheOthers(Watch.Value->Changes));
  });
}

TEST(StoreCodec, NoBytesAsAnAnswerThrow) {
  checkProperty("an answer of any bytes is refused or decoded", [] {
    std::string Answer = answerWith("items", item("servers/i-odd", 5));
    const auto Offset = *rc::gen::inRange<std::size_t>(0, Answer.size());
    Answer.replace(Offset, 1, *rc::gen::arbitrary<std::string>());
    const auto Page = decodePage(Answer);
    RC_ASSERT(Page.Value.has_value() == (Page.Reason == ResultCode::Ok));
    decodeChanges(*rc::gen::arbitrary<std::string>());
  });
}

TEST(StoreCodec, ReadsTheEpochOfAnAnswer) {
  LONGS_EQUAL(7, decodeEpoch("7").value_or(0));
  for (const char *Bad : {"", "0", "-1", "1.5", "7 ", "x", "1, 2", "65536",
                          "99999999999999999999"})
    CHECK_FALSE_TEXT(decodeEpoch(Bad).has_value(), Bad);
}

TEST(StoreCodec, ReadsTheNumberOfAConfiguration) {
  LONGS_EQUAL(12, configurationNumber(R"({"routes":[],"version":12})"));
  for (const char *Without :
       {"", "[]", "{}", R"({"version":"12"})", R"({"version":-1})",
        R"({"routes":[{"version":3}]})"})
    LONGS_EQUAL_TEXT(0, configurationNumber(Without), Without);
}
