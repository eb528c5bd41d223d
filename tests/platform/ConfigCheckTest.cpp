#include "app/CheckInput.h"
#include "platform/ConfigCodec.h"
#include "sources/StoreBundle.h"
#include "support/TemporaryFolder.h"

#include <random>
#include <sstream>
#include <string>
#include <vector>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;
using namespace fescuewood::platform;

namespace {

constexpr const char *ValidDocument = R"({"routes":[
  {"name":"read","host":"shop.example","prefix":"/queue/","kind":"idempotent",
   "timeout_s":1.5,"target_latency_s":0.5,"service":"queue"}],
 "services":[{"name":"queue","max_connections":120}],
 "tenants":[{"name":"clerks","api_keys":["k1"],"rate_per_s":41,"burst":40}]})";

constexpr unsigned Seed = 20261207;
constexpr int GeneratedDocuments = 2000;

/// Replaces parts of the valid document by other text, mostly invalid.
std::string mutatedDocument(std::mt19937 &Random) {
  const auto Below = [&Random](std::size_t Count) {
    return static_cast<std::size_t>(Random()) % Count;
  };
  static const std::vector<std::string> Parts{
      "\"queue\"", "1.5",      "\"/queue/\"", "41",       "\"k1\"",
      "120",       "\"read\"", "[{",          "\"host\"", "}"};
  static const std::vector<std::string> Others{
      "null", "-1",   "7",    "\"x\"", "[]",      "{}",      "1e999",
      "\"\"", "true", "\xff", "",      "\"/a/\"", "\"name\""};
  std::string Text = ValidDocument;
  for (std::size_t Count = Below(3); Count > 0; --Count) {
    const std::string &Part = Parts[Below(Parts.size())];
    const std::size_t At = Text.find(Part, Below(Text.size()));
    if (At != std::string::npos)
      Text.replace(At, Part.size(), Others[Below(Others.size())]);
  }
  return Text;
}

} // namespace

TEST_GROUP(ConfigCheck) {
  CheckInput check(const std::string &Text) {
    std::istringstream Standard(Text);
    return readCheckInput(StandardInputName, Standard);
  }
  TemporaryFolder Folder;
  std::istringstream Nothing;
};

// Guards against operators who mend one error for each run of the check.
TEST(ConfigCheck, ReportsAllErrorsOfADocumentWithPathAndValue) {
  const CheckInput Input = check(
      R"({"routes":[{"name":7,"host":"","prefix":"queue","kind":"x",
          "service":"till","timeout_s":-1}],
          "services":[{"name":"queue","max_connections":"many"}],
          "tenants":[{"name":"clerks","api_keys":["k1",12345]}]})");

  CHECK_TRUE(Input.Config == nullptr);
  STRCMP_EQUAL(
      "standard input: services[0].max_connections: found \"many\", expected a "
      "non-negative number (code 113)\n"
      "standard input: routes[0].name: found 7, expected a string (code 113)\n"
      "standard input: routes[0].host: found \"\", expected a host (code 113)\n"
      "standard input: routes[0].prefix: found \"queue\", expected a path that "
      "begins and ends with a slash (code 113)\n"
      "standard input: routes[0].service: found \"till\", expected the name of "
      "a service in the document (code 113)\n"
      "standard input: routes[0].timeout_s: found -1, expected a non-negative "
      "number (code 113)\n"
      "standard input: tenants[0].api_keys[1]: expected an API key as a string "
      "(code 113)\n",
      problemsText(Input.Found).c_str());
}

// Guards against a check that passes what nodes refuse, or the other way round.
TEST(ConfigCheck, AcceptsExactlyTheDocumentsThatANodeAccepts) {
  std::mt19937 Random(Seed);
  int Accepted = 0;
  for (int I = 0; I < GeneratedDocuments; ++I) {
    const std::string Text = mutatedDocument(Random);
    std::string Error;

    const CheckInput Input = check(Text);
    const bool NodeAccepts =
        compileConfiguration(encodeStoreBundle({Text, {"east"}}, 12),
                             {{"north", "south"}}, Error) != nullptr;

    CHECK_EQUAL_TEXT(NodeAccepts, Input.Config != nullptr, Text.c_str());
    CHECK_EQUAL_TEXT(NodeAccepts, Input.Found.empty(), Text.c_str());
    Accepted += NodeAccepts ? 1 : 0;
  }
  CHECK_TRUE(Accepted > GeneratedDocuments / 10);
  CHECK_TRUE(Accepted < GeneratedDocuments * 9 / 10);
}

// Guards against a crash, or several lines, for input that is no document.
TEST(ConfigCheck, ReportsOneErrorForInputThatIsNoDocument) {
  const std::string Deep(100000, '[');
  for (const std::string &Text :
       {std::string(), std::string("{\"routes\":["), Deep,
        std::string("{\"routes\":[],\"services\":[],\"x\":1e999}"),
        std::string("{\"routes\":[],\"services\":[],\"x\":\"\xff\"}")}) {
    const CheckInput Input = check(Text);

    CHECK_TRUE(Input.Readable);
    LONGS_EQUAL_TEXT(1, Input.Found.size(), Text.substr(0, 40).c_str());
  }
}

// Guards against a missing file that is reported like an invalid one, and
// against an endless input.
TEST(ConfigCheck, TellsUnreadableInputFromInvalidInput) {
  CHECK_FALSE(readCheckInput(Folder.file("none.json"), Nothing).Readable);
  CHECK_FALSE(readCheckInput("/dev/zero", Nothing).Readable);
  CHECK_FALSE(check(std::string(MaxCheckedBytes + 1, ' ')).Readable);
  const CheckInput Empty = readCheckInput(Folder.path(), Nothing);
  CHECK_TRUE(Empty.Readable);
  LONGS_EQUAL(1, Empty.Found.size());
}

TEST(ConfigCheck, ReadsAFileAndAFolder) {
  Folder.write("config.json", ValidDocument);
  CHECK_TRUE(readCheckInput(Folder.file("config.json"), Nothing).Config !=
             nullptr);

  Folder.write("10-a.ini", "[service queue]\nslots = 4\n");
  const CheckInput Input = readCheckInput(Folder.path(), Nothing);

  CHECK_TRUE(Input.Config != nullptr);
  CHECK_TRUE(Input.Merged.find("slots = 4") != std::string::npos);
  CHECK_TRUE(Input.Merged.find("ignored") != std::string::npos);
}
