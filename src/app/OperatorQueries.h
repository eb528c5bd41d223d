/// \file
/// Small pieces that the subcommands share when they ask running nodes.

#ifndef FESCUEWOOD_APP_OPERATORQUERIES_H
#define FESCUEWOOD_APP_OPERATORQUERIES_H

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// The parts of a list separated by commas; empty parts are left out.
std::vector<std::string> splitList(std::string_view Text);

/// Gets a page of a node's operator port within --timeout_ms; prints why it
/// failed, with the command's name in front, and returns nothing.
std::optional<std::string> askNode(std::string_view Command,
                                   const std::string &Address,
                                   const std::string &Path);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_OPERATORQUERIES_H
