/// \file
/// The HTTP client with which the command line reads operator ports.

#ifndef FESCUEWOOD_OPERATORS_HTTPGET_H
#define FESCUEWOOD_OPERATORS_HTTPGET_H

#include "core/Clock.h"

#include <optional>
#include <string>

namespace fescuewood {

/// Sends a GET request for \p Path, which starts with '/', to \p Address.
/// Returns the body of a response with status 200. On failure returns
/// std::nullopt and sets \p Error to a message.
std::optional<std::string> httpGet(const std::string &Address,
                                   const std::string &Path, DurationMs Timeout,
                                   std::string &Error);

/// Percent-encodes a value of a query parameter.
std::string urlEncoded(const std::string &Text);

} // namespace fescuewood

#endif // FESCUEWOOD_OPERATORS_HTTPGET_H
