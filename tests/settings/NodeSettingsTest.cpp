#include "settings/NodeSettings.h"

#include "support/Property.h"

#include <algorithm>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

const std::string CompleteText = R"([node]
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

std::string completeTextWith(const std::string &From, const std::string &To) {
  std::string Text = CompleteText;
  return Text.replace(Text.find(From), From.size(), To);
}

} // namespace

TEST_GROUP(NodeSettings) {
  Problems ProblemList;

  /// Parses a text and checks that it has exactly this problem.
  void expectProblem(const std::string &Text, ResultCode Code, std::size_t Line,
                     const char *Name) {
    ProblemList.clear();
    CHECK_FALSE(parseSettings(Text, "node.ini", ProblemList).has_value());
    LONGS_EQUAL(1, ProblemList.size());
    CHECK(Code == ProblemList[0].Code);
    LONGS_EQUAL(Line, ProblemList[0].Where.Line);
    STRCMP_EQUAL(Name, ProblemList[0].Name.c_str());
  }
};

TEST(NodeSettings, ReadsGivenValuesAndDefaults) {
  const auto Settings = parseSettings(CompleteText, "node.ini", ProblemList);

  STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  CHECK(Settings.has_value());
  STRCMP_EQUAL("recife/archive-2", Settings->Node.Name.c_str());
  LONGS_EQUAL(2, Settings->Node.Slot);
  LONGS_EQUAL(2, Settings->Peers.Seeds.size());
  STRCMP_EQUAL("127.10.0.3:7000", Settings->Peers.Seeds[1].text().c_str());
  CHECK(PlatformLocation::Kind::Http == Settings->Platform.Source.Form);
  LONGS_EQUAL(2000, Settings->Platform.FleetReadsPerSecond);
  CHECK(EventLevel::Info == Settings->Log.Level);
}

TEST(NodeSettings, DefaultsMatchTheFormatOfTheirKeys) {
  for (const KeyInfo &Info : settingsKeys()) {
    if (!Info.Default)
      continue;
    const std::string Heading = "[" + Info.Section + "]\n";
    const std::string Line = Info.Name + " = " + *Info.Default + "\n";
    std::string Text = CompleteText.find(Heading) == std::string::npos
                           ? CompleteText + Heading
                           : CompleteText;
    if (Text.find("\n" + Info.Name + " = ", Text.find(Heading)) <
        Text.find("\n[", Text.find(Heading)))
      continue;
    Text.insert(Text.find(Heading) + Heading.size(), Line);
    ProblemList.clear();

    parseSettings(Text, "node.ini", ProblemList);

    STRCMP_EQUAL("", problemsText(ProblemList).c_str());
  }
}

TEST(NodeSettings, ReportsAllProblemsInLineOrder) {
  const auto Settings =
      parseSettings("[node]\nname = A\nslot = x\ncolour = red\n[nodes]\n",
                    "node.ini", ProblemList);

  CHECK_FALSE(Settings.has_value());
  CHECK(ProblemList.size() > 8);
  CHECK(std::is_sorted(ProblemList.begin(), ProblemList.end(),
                       [](const Problem &Left, const Problem &Right) {
                         return Left.Where < Right.Where;
                       }));
}

TEST(NodeSettings, MessageNamesFileLineKeyAndExpectedFormat) {
  expectProblem(completeTextWith("slot = 2", "slot = -1"),
                ResultCode::ValueMalformed, 5, "[node] slot");

  STRCMP_EQUAL("node.ini:5: [node] slot: found \"-1\", expected a whole number "
               "from 0 to 65535 (code 113)",
               ProblemList[0].text().c_str());
}

TEST(NodeSettings, RejectsUnknownSectionsAndKeys) {
  expectProblem(completeTextWith("slot = 2", "slot = 2\nslots = 3"),
                ResultCode::KeyUnknown, 6, "[node] slots");
  expectProblem(CompleteText + "[extra]\n", ResultCode::SectionUnknown, 24,
                "[extra]");
  expectProblem(CompleteText + "[log extra]\n", ResultCode::SectionUnknown, 24,
                "[log extra]");
}

TEST(NodeSettings, ReportsMissingKeyAtItsSection) {
  expectProblem(completeTextWith("address = 127.10.0.2:9000\n", ""),
                ResultCode::KeyMissing, 16, "[target] address");
}

TEST(NodeSettings, RejectsMalformedAddresses) {
  const std::string ValidSource = "http://127.10.0.9:6000";
  for (const char *Malformed :
       {"http://localhost:6000", "https://127.10.0.9:6000",
        "folder:", "127.10.0.9", "http://127.10.0.9", "http://127.10.0.9:65536",
        "http://127.10.0.9:6000/path"})
    expectProblem(completeTextWith(ValidSource, Malformed),
                  ResultCode::ValueMalformed, 20, "[platform] source");
}

TEST(NodeSettings, RejectsListenersOnTheSameEndpoint) {
  expectProblem(completeTextWith("127.10.0.2:8090", "127.10.0.2:7000"),
                ResultCode::SettingsConflict, 0, "[operators] listen");
}

TEST(NodeSettings, ReturnsSettingsOrProblemsForMutatedText) {
  checkProperty("mutations", [] {
    std::string Text = CompleteText;
    for (int Left = *rc::gen::inRange(1, 4); Left > 0; --Left) {
      const auto Place = *rc::gen::inRange<std::size_t>(0, Text.size());
      const auto Piece = *rc::gen::element<std::string>(
          "", "\n", "[log]\n", "=", " ;", "0", "level = warn\n", "\xff", ":");
      Text.replace(Place, *rc::gen::inRange<std::size_t>(0, 20), Piece);
    }
    Problems Reported;

    const auto Settings = parseSettings(Text, "node.ini", Reported);

    RC_ASSERT(Settings.has_value() == Reported.empty());
    for (const Problem &P : Reported)
      RC_ASSERT(!P.Detail.empty());
  });
}

TEST(NodeSettings, ReportsUnreadableFile) {
  CHECK_FALSE(loadSettings("/nonexistent/node.ini", ProblemList).has_value());

  CHECK(ResultCode::FileUnreadable == ProblemList[0].Code);
}

TEST(NodeSettings, CallDefaultsMatchCallSettings) {
  const auto Settings = parseSettings(CompleteText, "node.ini", ProblemList);

  CHECK_TRUE(Settings.has_value());
  const CallSettings Defaults;
  CHECK(Defaults.Routing == Settings->Calls.Routing);
  CHECK(Defaults.HeartbeatInterval == Settings->Calls.HeartbeatInterval);
  DOUBLES_EQUAL(Defaults.ColdShare, Settings->Calls.ColdShare, 0);
  LONGS_EQUAL(Defaults.MaxKeptBytes, Settings->Calls.MaxKeptBytes);
}
