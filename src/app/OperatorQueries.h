/// \file
/// Helpers of the subcommands that query the operator ports of nodes.

#ifndef FESCUEWOOD_APP_OPERATORQUERIES_H
#define FESCUEWOOD_APP_OPERATORQUERIES_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Splits a list at its commas and omits empty parts.
std::vector<std::string> splitList(std::string_view Text);

/// Gets a page from a node's operator port within --timeout_ms. On failure
/// prints the error, prefixed with the command's name, and returns
/// std::nullopt.
std::optional<std::string> queryNode(std::string_view Command,
                                     const std::string &Address,
                                     const std::string &Path);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_OPERATORQUERIES_H
