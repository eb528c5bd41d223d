/// \file
/// Holds a page of documentation against a table of keys.

#ifndef FESCUEWOOD_TESTS_SUPPORT_SCHEMATABLE_H
#define FESCUEWOOD_TESTS_SUPPORT_SCHEMATABLE_H

#include "ini/Schema.h"

#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

/// The Markdown table of each section, as it must stand in the page.
inline std::map<std::string, std::string>
schemaTables(const std::vector<fescuewood::KeyInfo> &Keys) {
  std::map<std::string, std::string> Tables;
  for (const fescuewood::KeyInfo &Key : Keys) {
    std::string &Table = Tables[Key.Section];
    if (Table.empty())
      Table = "| Key | Unit | Default | Value | Meaning |\n"
              "|---|---|---|---|---|\n";
    std::string Default = "none: must be given";
    if (Key.Default)
      Default = Key.Default->empty() ? "empty" : "`" + *Key.Default + "`";
    Table += "| `" + Key.Name + "` | " + Key.Unit + " | " + Default + " | " +
             Key.Form + " | " + Key.Meaning + " |\n";
  }
  return Tables;
}

/// Rows of the page that describe a key, in any section.
inline std::size_t countKeyRows(const std::string &Page) {
  std::size_t Count = 0;
  for (std::size_t At = Page.find("\n| `"); At != std::string::npos;
       At = Page.find("\n| `", At + 1))
    ++Count;
  return Count;
}

inline std::string readPage(const std::string &Path) {
  std::ifstream File(Path);
  return {std::istreambuf_iterator<char>(File), {}};
}

#endif // FESCUEWOOD_TESTS_SUPPORT_SCHEMATABLE_H
