#include "check/ConfigDifference.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ConfigDifference) {
  void setup() override {
    Old.Services["queue"] = {.Name = "queue"};
    Old.Organisations["clerks"] = {"clerks", "slow"};
    Old.Rates["slow"] = {"slow", 10, 5};
    Old.Keys = {{"clerks-1", "clerks", Digest::sha256("1")},
                {"clerks-2", "clerks", Digest::sha256("2")}};
    Route R;
    R.Name = "read";
    R.Path = "/queue/*";
    R.Split = {{"queue", 90}, {"till", 10}};
    Old.Routes = {R};
    New = Old;
  }

  /// All differences, one per line.
  std::string compared() {
    std::string Text;
    for (const Difference &D : compareConfigurations(Old, New))
      Text += D.text() + "\n";
    return Text;
  }

  Snapshot Old;
  Snapshot New;
};

// Guards against differences where there are none.
TEST(ConfigDifference, IsEmptyForEqualConfigurations) {
  STRCMP_EQUAL("", compared().c_str());
}

// Guards against a withdrawn key that goes unnoticed because the keys after it
// take over its number.
TEST(ConfigDifference, MarksAWithdrawnKeyAsImmediate) {
  New.Keys = {{"clerks-1", "clerks", Digest::sha256("2")}};

  STRCMP_EQUAL(
      ("- key clerks " + Digest::sha256("1").shortHex() + " (immediate)\n")
          .c_str(),
      compared().c_str());
}

// Guards against a removed route whose callers get 404 at once.
TEST(ConfigDifference, MarksARemovedRouteAsImmediate) {
  New.Routes.clear();

  STRCMP_EQUAL("- route read (immediate)\n", compared().c_str());
}

// Guards against traffic that moves to another service unannounced.
TEST(ConfigDifference, MarksAMovedSplitAsImmediate) {
  New.Routes.front().Split.back().Weight = 50;

  STRCMP_EQUAL("~ route read: destination: queue:90, till:10 -> queue:90, "
               "till:50 (immediate)\n",
               compared().c_str());
}

// Guards against a changed match, which removes the old one like a removal.
TEST(ConfigDifference, MarksAChangedMatchAsImmediate) {
  New.Routes.front().Path = "/line/*";

  STRCMP_EQUAL("~ route read: path: /queue/* -> /line/* (immediate)\n",
               compared().c_str());
}

// Guards against a changed value or an added entry that is not listed.
TEST(ConfigDifference, ListsChangedFieldsAndAddedEntries) {
  New.Routes.front().Timeout = DurationMs(1500);
  New.Rates["slow"].Burst = 7.5;
  New.Services["till"] = {.Name = "till"};
  New.Limits = CallerLimits{"all", 16384, 1000, {}, {}};

  STRCMP_EQUAL("+ limits\n"
               "~ rate slow: burst: 5 -> 7.5\n"
               "~ route read: timeout: 2000 ms -> 1500 ms\n"
               "+ service till\n",
               compared().c_str());
}

// Guards against one of two routes with the same name that is passed over.
TEST(ConfigDifference, DistinguishesRoutesWithTheSameName) {
  New.Routes.push_back(New.Routes.front());

  STRCMP_EQUAL("+ route read (2)\n", compared().c_str());
}

// Guards against a name that adds lines to the output or controls the terminal.
TEST(ConfigDifference, PrintsControlCharactersOfNamesAsQuestionMarks) {
  New.Services["till\n- route \x1b[2J"] = {};

  STRCMP_EQUAL("+ service till?- route ?[2J\n", compared().c_str());
}
