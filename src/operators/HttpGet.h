/// \file
/// Reads one page of another process's operator port, for the command line.

#ifndef FESCUEWOOD_OPERATORS_HTTPGET_H
#define FESCUEWOOD_OPERATORS_HTTPGET_H

#include "core/Clock.h"

#include <optional>
#include <string>

namespace fescuewood {

/// Gets `http://ADDRESS/PATH`. Returns the body of a 200 answer, or nothing
/// with \p Error saying why in words.
std::optional<std::string> httpGet(const std::string &Address,
                                   const std::string &Path, DurationMs Timeout,
                                   std::string &Error);

/// Percent-encodes a query value.
std::string urlEncoded(const std::string &Text);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_HTTPGET_H
