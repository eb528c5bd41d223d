#include "settings/SettingsChange.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(SettingsChange){};

TEST(SettingsChange, IgnoresCommentsAndFindsNoDifference) {
  const SettingsChange Change = compareSettings(
      "[log]\nlevel = info\n", "; a comment\n[log]\nlevel = info\n");

  CHECK_TRUE(Change.empty());
}

TEST(SettingsChange, SeparatesReloadableSettingsFromOthers) {
  const SettingsChange Change = compareSettings(
      "[log]\nlevel = info\n[node]\nname = a\n[bounds]\nrate_slack = 1\n",
      "[log]\nlevel = warn\n[node]\nname = b\n[bounds]\nrate_slack = 2\n");

  LONGS_EQUAL(2, Change.Reloadable.size());
  STRCMP_EQUAL("[bounds] rate_slack", Change.Reloadable[0].c_str());
  STRCMP_EQUAL("[log] level", Change.Reloadable[1].c_str());
  LONGS_EQUAL(1, Change.RestartRequired.size());
  STRCMP_EQUAL("[node] name", Change.RestartRequired[0].c_str());
}

TEST(SettingsChange, ReportsRemovedSetting) {
  const SettingsChange Change =
      compareSettings("[callers]\nlisten = 127.0.0.1:1\n", "");

  LONGS_EQUAL(1, Change.RestartRequired.size());
}
