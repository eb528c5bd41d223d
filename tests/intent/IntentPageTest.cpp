#include "support/SchemaTable.h"

#include "intent/CompileIntent.h"

#include <CppUTest/TestHarness.h>

TEST_GROUP(IntentPage){};

TEST(IntentPage, DocumentedTablesMatchTheSchema) {
  const std::string Page = readPage(SOURCE_DIR "/docs/INTENT.md");
  const auto Keys = fescuewood::intentKeys();

  for (const auto &[Section, Table] : schemaTables(Keys)) {
    const std::size_t Heading = Page.find("### [" + Section + " NAME]\n");
    CHECK_TRUE_TEXT(Heading != std::string::npos, Section.c_str());
    STRCMP_CONTAINS(Table.c_str(), Page.substr(Heading).c_str());
  }
  LONGS_EQUAL(Keys.size(), countKeyRows(Page));
}
