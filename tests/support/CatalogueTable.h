/// \file
/// Reads the rows of the Markdown catalogues in docs/, so that a test can hold
/// them against the code.

#ifndef FESCUEWOOD_TESTS_SUPPORT_CATALOGUETABLE_H
#define FESCUEWOOD_TESTS_SUPPORT_CATALOGUETABLE_H

#include <string>
#include <string_view>
#include <vector>

/// The cells of every table row of \p Path whose first cell is not a heading.
/// A file that cannot be read gives no rows.
std::vector<std::vector<std::string>> catalogueRows(const std::string &Path);

#endif // FESCUEWOOD_TESTS_SUPPORT_CATALOGUETABLE_H
