#include "settings/NodeSettings.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const std::string Complete = R"([node]
name = recife/archive-2
domain = recife
service = archive
slot = 2
address = 127.10.0.2

[callers]
listen = 127.10.0.2:8080

[peers]
listen = 127.10.0.2:7000
seeds = 127.10.0.1:7000, 127.10.0.3:7000
secret = a-secret-of-the-fleet

[target]
address = 127.10.0.2:9000

[platform]
source = http://127.10.0.9:6000

[operators]
listen = 127.10.0.2:8090
)";

std::string with(const std::string &From, const std::string &To) {
  std::string Text = Complete;
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

TEST_GROUP(NodeSettings) {
  Problems Found;

  /// Parses a text that must have exactly this one problem.
  void parseBad(const std::string &Text, ResultCode Code, std::size_t Line,
                const char *Name) {
    Found.clear();
    CHECK_FALSE(parseSettings(Text, "node.ini", Found).has_value());
    LONGS_EQUAL(1, Found.size());
    CHECK(Code == Found[0].Code);
    LONGS_EQUAL(Line, Found[0].Where.Line);
    STRCMP_EQUAL(Name, Found[0].Name.c_str());
  }
};

TEST(NodeSettings, ReadsEveryGivenValueAndFillsInDefaults) {
  const auto Settings = parseSettings(Complete, "node.ini", Found);

  STRCMP_EQUAL("", problemsText(Found).c_str());
  CHECK(Settings.has_value());
  STRCMP_EQUAL("recife/archive-2", Settings->Node.Name.c_str());
  LONGS_EQUAL(2, Settings->Node.Slot);
  LONGS_EQUAL(2, Settings->Peers.Seeds.size());
  STRCMP_EQUAL("127.10.0.3:7000", Settings->Peers.Seeds[1].text().c_str());
  CHECK(PlatformLocation::Kind::Http == Settings->Platform.Source.Form);
  LONGS_EQUAL(2000, Settings->Platform.FleetReadsPerSecond);
  CHECK(EventLevel::Info == Settings->Log.Level);
}

TEST(NodeSettings, EveryDefaultHasTheFormOfItsKey) {
  for (const KeyInfo &Info : settingsKeys()) {
    if (!Info.Default)
      continue;
    const std::string Heading = "[" + Info.Section + "]\n";
    const std::string Line = Info.Name + " = " + *Info.Default + "\n";
    std::string Text = Complete.find(Heading) == std::string::npos
                           ? Complete + Heading
                           : Complete;
    if (Text.find("\n" + Info.Name + " = ", Text.find(Heading)) <
        Text.find("\n[", Text.find(Heading)))
      continue;
    Text.insert(Text.find(Heading) + Heading.size(), Line);
    Found.clear();

    parseSettings(Text, "node.ini", Found);

    STRCMP_EQUAL("", problemsText(Found).c_str());
  }
}

TEST(NodeSettings, ReportsEveryProblemAtOnceInOrderOfLine) {
  const auto Settings = parseSettings(
      "[node]\nname = A\nslot = x\ncolour = red\n[nodes]\n", "node.ini", Found);

  CHECK_FALSE(Settings.has_value());
  CHECK(Found.size() > 8);
  CHECK(std::is_sorted(Found.begin(), Found.end(),
                       [](const Problem &Left, const Problem &Right) {
                         return Left.Where < Right.Where;
                       }));
}

TEST(NodeSettings, NamesFileLineKeyAndWhatWasExpected) {
  parseBad(with("slot = 2", "slot = -1"), ResultCode::ValueMalformed, 5,
           "[node] slot");

  STRCMP_EQUAL("node.ini:5: [node] slot: found \"-1\", expected a whole number "
               "from 0 to 65535 (code 113)",
               Found[0].text().c_str());
}

TEST(NodeSettings, RefusesUnknownSectionsAndKeys) {
  parseBad(with("slot = 2", "slot = 2\nslots = 3"), ResultCode::KeyUnknown, 6,
           "[node] slots");
  parseBad(Complete + "[extra]\n", ResultCode::SectionUnknown, 24, "[extra]");
  parseBad(Complete + "[log extra]\n", ResultCode::SectionUnknown, 24,
           "[log extra]");
}

TEST(NodeSettings, RefusesAMissingKeyAtItsSection) {
  parseBad(with("address = 127.10.0.2:9000\n", ""), ResultCode::KeyMissing, 16,
           "[target] address");
}

TEST(NodeSettings, RefusesMalformedAddresses) {
  const std::string Good = "http://127.10.0.9:6000";
  for (const char *Bad :
       {"http://localhost:6000", "https://127.10.0.9:6000",
        "folder:", "127.10.0.9", "http://127.10.0.9", "http://127.10.0.9:65536",
        "http://127.10.0.9:6000/path"})
    parseBad(with(Good, Bad), ResultCode::ValueMalformed, 20,
             "[platform] source");
}

TEST(NodeSettings, RefusesTwoListenersAtOnePlace) {
  parseBad(with("127.10.0.2:8090", "127.10.0.2:7000"),
           ResultCode::SettingsConflict, 0, "[operators] listen");
}

TEST(NodeSettings, AcceptsMutatedSettingsWholeOrRefusesThem) {
  checkProperty("mutations", [] {
    std::string Text = Complete;
    for (int Left = *rc::gen::inRange(1, 4); Left > 0; --Left) {
      const auto Place = *rc::gen::inRange<std::size_t>(0, Text.size());
      const auto Piece = *rc::gen::element<std::string>(
          "", "\n", "[log]\n", "=", " ;", "0", "level = warn\n", "\xff", ":");
      Text.replace(Place, *rc::gen::inRange<std::size_t>(0, 20), Piece);
    }
    Problems Listed;

    const auto Settings = parseSettings(Text, "node.ini", Listed);

    RC_ASSERT(Settings.has_value() == Listed.empty());
    for (const Problem &P : Listed)
      RC_ASSERT(!P.Detail.empty());
  });
}

TEST(NodeSettings, SaysThatAFileCannotBeRead) {
  CHECK_FALSE(loadSettings("/nonexistent/node.ini", Found).has_value());

  CHECK(ResultCode::FileUnreadable == Found[0].Code);
}

TEST(NodeSettings, CallsHaveTheDefaultsOfTheCode) {
  const auto Settings = parseSettings(Complete, "node.ini", Found);

  CHECK_TRUE(Settings.has_value());
  const CallSettings Code;
  CHECK(Code.Routing == Settings->Calls.Routing);
  CHECK(Code.HeartbeatInterval == Settings->Calls.HeartbeatInterval);
  DOUBLES_EQUAL(Code.ColdShare, Settings->Calls.ColdShare, 0);
  LONGS_EQUAL(Code.MaxKeptBytes, Settings->Calls.MaxKeptBytes);
}
