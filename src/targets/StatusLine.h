/// \file
/// A strict parser for the status lines of a target.
///
/// libcurl reads more lines as a status line than RFC 9112 allows, and some of
/// them as 200 whatever they say. What a target answered is therefore taken
/// from the bytes of its line.

#ifndef FESCUEWOOD_TARGETS_STATUSLINE_H
#define FESCUEWOOD_TARGETS_STATUSLINE_H

#include <optional>
#include <string_view>

namespace fescuewood {

/// The status, 100 to 599, of a status line of HTTP/1.0 or HTTP/1.1 without its
/// line end. Returns std::nullopt if it is malformed.
std::optional<int> parseStatusLine(std::string_view Line);

/// Whether a text contains the beginning of a status line, as one does that an
/// answer which was cut forms with the answer behind it.
bool containsStatusLine(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_TARGETS_STATUSLINE_H
