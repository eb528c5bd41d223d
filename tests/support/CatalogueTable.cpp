#include "support/CatalogueTable.h"

#include <cctype>
#include <fstream>
#include <sstream>

namespace {

std::string trimmed(const std::string &Text) {
  const std::size_t First = Text.find_first_not_of(' ');
  if (First == std::string::npos)
    return "";
  return Text.substr(First, Text.find_last_not_of(' ') - First + 1);
}

std::vector<std::string> cells(const std::string &Line) {
  std::vector<std::string> Cells;
  std::istringstream Stream(Line.substr(1));
  std::string Cell;
  while (std::getline(Stream, Cell, '|'))
    Cells.push_back(trimmed(Cell));
  return Cells;
}

bool isRow(const std::string &Line) {
  return Line.starts_with("| ") && Line.size() > 2 &&
         std::isdigit(static_cast<unsigned char>(Line[2]));
}

} // namespace

std::vector<std::vector<std::string>> catalogueRows(const std::string &Path) {
  std::vector<std::vector<std::string>> Rows;
  std::ifstream File(Path);
  std::string Line;
  while (std::getline(File, Line)) {
    if (isRow(Line))
      Rows.push_back(cells(Line));
  }
  return Rows;
}
