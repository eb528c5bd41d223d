/// \file
/// Markdown tables of configuration keys, to compare a documentation page with
/// the key table in the code.

#ifndef FESCUEWOOD_TESTS_SUPPORT_SCHEMATABLE_H
#define FESCUEWOOD_TESTS_SUPPORT_SCHEMATABLE_H

#include "ini/Schema.h"

#include <fstream>
#include <iterator>
#include <map>
#include <string>
#include <vector>

/// Returns the expected Markdown table of each section, by section name.
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

/// Returns the number of table rows in \p Page that describe a key.
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
