#include "core/ResultCode.h"

#include "support/CatalogueTable.h"

#include <map>
#include <string>

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

TEST_GROUP(ResultCode){};

TEST(ResultCode, NumbersAndNamesAreUnique) {
  std::map<int, std::string_view> ByNumber;
  std::map<std::string_view, int> ByName;

  for (const ResultCodeEntry &Entry : resultCodes()) {
    ByNumber[static_cast<int>(Entry.Code)] = Entry.Name;
    ByName[Entry.Name] = static_cast<int>(Entry.Code);
  }

  LONGS_EQUAL(resultCodes().size(), ByNumber.size());
  LONGS_EQUAL(resultCodes().size(), ByName.size());
}

TEST(ResultCode, DocumentedTableMatchesCode) {
  std::map<std::string, std::string> Documented;
  for (const auto &Row : catalogueRows(SOURCE_DIR "/docs/RESULT_CODES.md"))
    Documented[Row.at(0)] = Row.at(1) + ": " + Row.at(2);

  std::map<std::string, std::string> Coded;
  for (const ResultCodeEntry &Entry : resultCodes())
    Coded[std::to_string(static_cast<int>(Entry.Code))] =
        std::string(Entry.Name) + ": " + std::string(Entry.Text);

  for (const auto &[Number, Text] : Coded)
    STRCMP_EQUAL_TEXT(Text.c_str(), Documented[Number].c_str(), Number.c_str());
  LONGS_EQUAL(Coded.size(), Documented.size());
}
