#include "intent/IntentReport.h"

#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(IntentReport) {
  IntentBundle Bundle{1,
                      {{"10-a.ini", "[service queue]\nslots = 6\n"},
                       {"20-b.ini", "; busy\n[service queue]\nslots = 4\n"}}};
};

TEST(IntentReport, ShowsTheOriginOfEveryValue) {
  const IntentReport Report = reportIntent(Bundle);

  CHECK(Report.Accepted);
  const std::string Expected =
      "[service queue]\n"
      "slots = 4                                         "
      "# 20-b.ini:3, over 10-a.ini:2\n"
      "slow_start_ms = 0                                 "
      "# default\n"
      "warmup_per_second = 0                             "
      "# default\n\n"
      "# digest " +
      Bundle.version().Content.shortHex() + ", 2 files, 75 of 1048576 bytes\n";
  STRCMP_EQUAL(Expected.c_str(), Report.Merged.c_str());
}

TEST(IntentReport, MarksDefaultValues) {
  Bundle.Files = {{"10-a.ini", "[service queue]\n"}};

  const IntentReport Report = reportIntent(Bundle);

  const std::string Expected =
      "[service queue]\n"
      "slots = 1                                         "
      "# default\n"
      "slow_start_ms = 0                                 "
      "# default\n"
      "warmup_per_second = 0                             "
      "# default\n\n"
      "# digest " +
      Bundle.version().Content.shortHex() + ", 1 files, 24 of 1048576 bytes\n";
  STRCMP_EQUAL(Expected.c_str(), Report.Merged.c_str());
}

TEST(IntentReport, ShowsTheMergedIntentDespiteErrors) {
  Bundle.Files.push_back({"30-c.ini", "[service till]\nslots = none\n"});

  const IntentReport Report = reportIntent(Bundle);

  CHECK_FALSE(Report.Accepted);
  CHECK(Report.Merged.find("slots = none") != std::string::npos);
  STRCMP_EQUAL("30-c.ini:2: [service till] slots: found \"none\", expected a "
               "whole number from 1 to 65535 (code 113)\n",
               Report.Errors.c_str());
}

TEST(IntentReport, ReportsAnUnreadableFolder) {
  const IntentReport Report = reportIntentFolder("/nonexistent");

  CHECK_FALSE(Report.Accepted);
  CHECK(Report.Errors.find("/nonexistent") != std::string::npos);
}
