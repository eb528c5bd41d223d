#include "app/CheckReport.h"
#include "core/ReadFile.h"
#include "intent/CompileIntent.h"
#include "support/TemporaryFolder.h"

#include <filesystem>
#include <optional>
#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <fmt/format.h>
#include <nlohmann/json.hpp>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

std::string intentText(const std::string &KeyStatus, int ObjectiveMs) {
  return fmt::format("[service queue]\n"
                     "[rate slow]\nper_second = 10\nburst = 5\n"
                     "[organisation clerks]\nrate = slow\n"
                     "[key first]\norganisation = clerks\nsha256 = {}\n"
                     "status = {}\n"
                     "[key second]\norganisation = clerks\nsha256 = {}\n"
                     "[route read]\npath = /queue/*\nservice = queue\n"
                     "objective_ms = {}\n",
                     Digest::sha256("old key").hex(), KeyStatus,
                     Digest::sha256("new key").hex(), ObjectiveMs);
}

constexpr unsigned Seed = 20261207;
constexpr int GeneratedFolders = 300;

/// A valid intent with up to two lines replaced, mostly by invalid ones.
std::string mutatedIntent(std::mt19937 &Random) {
  static const std::vector<std::string> Others{
      "burst = 0", "slots = 4",  "organisation = guests", "[route]",
      "priority",  "host = A b", "timeout_ms = 1e999",    "wait = yes",
      "x = \xff",  "[till]",     "service = till",        "; note"};
  std::istringstream Lines(intentText("active", 3000));
  std::vector<std::string> Text;
  for (std::string Line; std::getline(Lines, Line);)
    Text.push_back(Line);
  for (std::size_t Count = Random() % 3; Count > 0; --Count)
    Text[Random() % Text.size()] = Others[Random() % Others.size()];
  std::string Joined;
  for (const std::string &Line : Text)
    Joined += Line + "\n";
  return Joined;
}

/// Indents each line like a code block of a page.
std::string asCodeBlock(const std::string &Text) {
  std::string Block;
  std::istringstream Lines(Text);
  for (std::string Line; std::getline(Lines, Line);)
    Block += "    " + Line + "\n";
  return Block;
}

} // namespace

TEST_GROUP(CheckReport) {
  void setup() override {
    std::filesystem::create_directory(Folder.file("published"));
    std::filesystem::create_directory(Folder.file("changed"));
    Folder.write("published/10-all.ini", intentText("active", 0));
    Folder.write("changed/10-all.ini", intentText("withdrawn", 3000));
  }

  CheckReport report(const std::string &Name) {
    return makeCheckReport(readCheckInput(Folder.file(Name), Nothing),
                           Folder.file("published"),
                           readCheckInput(Folder.file("published"), Nothing));
  }

  TemporaryFolder Folder;
  std::istringstream Nothing;
};

// Guards against a worked case in docs/OPERATING.md that shows another output
// than operators get.
TEST(CheckReport, PrintsWhatTheWorkedCaseShows) {
  const auto Page = readFile(SOURCE_DIR "/docs/OPERATING.md", 1 << 20);

  const CheckReport Report = report("changed");

  for (const std::string &Part : {checkOutput(Report), checkMessages(Report)})
    CHECK_TEXT(Page->find("\n" + asCodeBlock(Part)) != std::string::npos,
               Part.c_str());
  CHECK_TRUE(ExitCode::Success == checkResult(Report, false));
  CHECK_TRUE(ExitCode::Negative == checkResult(Report, true));
}

// Guards against scripts that publish a change despite errors or warnings.
TEST(CheckReport, SelectsTheMostSevereExitCode) {
  CHECK_TRUE(ExitCode::Success == checkResult(report("published"), true));
  CHECK_TRUE(ExitCode::Failure == checkResult(report("none"), false));
  Folder.write("changed/20-bad.ini", "[route read]\ntimeout_ms = soon\n");
  CHECK_TRUE(ExitCode::Usage == checkResult(report("changed"), true));
  Folder.write("published/20-bad.ini", "[route read]\ntimeout_ms = soon\n");
  CHECK_TRUE(ExitCode::Usage == checkResult(report("published"), false));
}

// Guards against programs that read the output and miss a part of it.
TEST(CheckReport, PrintsEveryPartAsJson) {
  const auto Valid = nlohmann::json::parse(checkJson(report("changed")));

  CHECK_TRUE(Valid["accepted"].get<bool>());
  LONGS_EQUAL(0, Valid["errors"].size());
  STRCMP_EQUAL("objective-over-timeout",
               Valid["warnings"][0]["name"].get<std::string>().c_str());
  LONGS_EQUAL(2, Valid["differences"].size());
  CHECK_TRUE(Valid["differences"][0]["new"].is_null());
  CHECK_TRUE(Valid["differences"][0]["immediate"].get<bool>());

  Folder.write("changed/20-\xff.ini", "");
  Folder.write("changed/20-bad.ini", "[route read]\ntimeout_ms = soon\n");
  const auto Invalid = nlohmann::json::parse(checkJson(report("changed")));
  CHECK_FALSE(Invalid["accepted"].get<bool>());
  LONGS_EQUAL(2, Invalid["errors"][0]["line"].get<int>());
  STRCMP_EQUAL("[route read] timeout_ms",
               Invalid["errors"][0]["entry"].get<std::string>().c_str());
  CHECK_FALSE(Invalid.contains("differences"));
}

// Guards against output that depends on the time or on the run.
TEST(CheckReport, IsTheSameForTheSameInput) {
  const std::string First = checkJson(report("changed"));

  STRCMP_EQUAL(First.c_str(), checkJson(report("changed")).c_str());
}

// Guards against a check that passes a folder which nodes refuse, or the other
// way round.
TEST(CheckReport, AcceptsExactlyTheFoldersThatANodeAccepts) {
  std::mt19937 Random(Seed);
  int Accepted = 0;
  for (int I = 0; I < GeneratedFolders; ++I) {
    const std::string Text = mutatedIntent(Random);
    Folder.write("changed/10-all.ini", Text);

    const CheckReport Report = report("changed");
    const CompiledIntent Compiled =
        compileIntent({1, {{"10-all.ini", Text}}, 0});

    const bool NodeAccepts = Compiled.Result != nullptr;
    CHECK_EQUAL_TEXT(NodeAccepts, Report.Input.Config != nullptr, Text.c_str());
    STRCMP_EQUAL(problemsText(Compiled.Found).c_str(),
                 problemsText(Report.Input.Found).c_str());
    Accepted += NodeAccepts ? 1 : 0;
  }
  CHECK_TRUE(Accepted > GeneratedFolders / 10);
  CHECK_TRUE(Accepted < GeneratedFolders * 9 / 10);
}

// Guards against a comparison with a node that reports differences where there
// are none, or that passes when the answer is not a configuration.
TEST(CheckReport, ComparesWithThePageOfANode) {
  const auto Published = readCheckInput(Folder.file("published"), Nothing);
  const std::string Page = configEntriesJson(*Published.Entries);
  const auto Compared = [&](const std::string &Name,
                            const std::optional<std::string> &Text) {
    return makeCheckReport(readCheckInput(Folder.file(Name), Nothing), "node",
                           readNodePage("node", Text));
  };

  LONGS_EQUAL(0, Compared("published", Page).Changes->size());
  STRCMP_EQUAL(checkOutput(report("changed")).c_str(),
               checkOutput(Compared("changed", Page)).c_str());
  for (const char *Bad : {"", "{}", "[]", "{\"entries\":[]}",
                          "{\"entries\":{\"route a\":{\"path\":1}}}"})
    CHECK_TRUE(ExitCode::Failure ==
               checkResult(Compared("published", Bad), false));
  CHECK_TRUE(ExitCode::Failure ==
             checkResult(Compared("published", std::nullopt), false));
}

// Guards against failure domains that appear removed because the platform's
// form does not declare them.
TEST(CheckReport, ComparesDomainsOnlyIfBothFormsDeclareThem) {
  CheckInput Node;
  Node.HasDomains = true;
  Node.Entries = ConfigEntries{{"domain east", {{"status", "in"}}}};
  std::istringstream Document(R"({"routes":[],"services":[]})");

  const CheckReport Report = makeCheckReport(
      readCheckInput(StandardInputName, Document), "node", Node);

  LONGS_EQUAL(0, Report.Changes->size());
}
