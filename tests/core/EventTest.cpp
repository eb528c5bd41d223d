#include "core/Event.h"

#include "support/CatalogueTable.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(Event){};

TEST(Event, DocumentedCatalogueMatchesCode) {
  std::map<std::string, std::string> Documented;
  for (const auto &Row : catalogueRows(SOURCE_DIR "/docs/EVENTS.md"))
    Documented[Row.at(0)] = Row.at(1) + ": " + Row.at(2) + ": " + Row.at(3);

  std::map<std::string, std::string> Coded;
  for (const EventEntry &Entry : eventCatalogue())
    Coded[std::to_string(static_cast<int>(Entry.Id))] =
        std::string(Entry.Name) + ": " + std::string(levelName(Entry.Level)) +
        ": " + std::string(Entry.Text);

  for (const auto &[Number, Text] : Coded)
    STRCMP_EQUAL_TEXT(Text.c_str(), Documented[Number].c_str(), Number.c_str());
  LONGS_EQUAL(Coded.size(), Documented.size());
}
