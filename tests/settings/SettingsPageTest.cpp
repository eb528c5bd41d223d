#include "support/SchemaTable.h"

#include "settings/NodeSettings.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(SettingsPage){};

TEST(SettingsPage, ContainsExactlyTheTableOfEverySection) {
  const std::string Page = readPage(SOURCE_DIR "/docs/SETTINGS.md");
  const auto Keys = fescuewood::settingsKeys();

  for (const auto &[Section, Table] : schemaTables(Keys)) {
    const std::size_t Heading = Page.find("## [" + Section + "]\n");
    CHECK_TRUE_TEXT(Heading != std::string::npos, Section.c_str());
    STRCMP_CONTAINS(Table.c_str(), Page.substr(Heading).c_str());
  }
  LONGS_EQUAL(Keys.size(), countKeyRows(Page));
}
