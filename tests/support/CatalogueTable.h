/// \file
/// Reader for the Markdown catalogues in docs/, so that a test can compare them
/// with the code.

#ifndef FESCUEWOOD_TESTS_SUPPORT_CATALOGUETABLE_H
#define FESCUEWOOD_TESTS_SUPPORT_CATALOGUETABLE_H

#include <string>
#include <string_view>
#include <vector>

/// Returns the cells of every table row of the file \p Path whose first cell
/// starts with a digit. Returns no rows when the file cannot be read.
std::vector<std::vector<std::string>> catalogueRows(const std::string &Path);

#endif // FESCUEWOOD_TESTS_SUPPORT_CATALOGUETABLE_H
