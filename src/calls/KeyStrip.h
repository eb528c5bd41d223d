/// \file
/// Finds the key that a caller showed and removes it from what travels on.

#ifndef FESCUEWOOD_CALLS_KEYSTRIP_H
#define FESCUEWOOD_CALLS_KEYSTRIP_H

#include "callers/HeaderScheme.h"
#include "calls/Call.h"

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Tells whether a text is a key in force.
using IsKeyHook = std::function<bool(std::string_view)>;

/// The key that a request shows: the key field, else a bearer token that is a
/// key, else the query parameter. Nothing when it shows none, or shows two
/// different ones in the same place.
std::optional<std::string> shownKey(const std::vector<Header> &Headers,
                                    std::string_view Target,
                                    const IsKeyHook &IsKey);

/// The key that a request shows in the one field of \p Scheme; nothing when it
/// shows none, or two different ones.
std::optional<std::string> shownKey(const std::vector<Header> &Headers,
                                    const HeaderScheme &Scheme);

/// Removes the field of \p Scheme where it holds a key.
void stripKey(std::vector<Header> &Headers, const HeaderScheme &Scheme);

/// Removes the key field, the key parameter, and every header field and query
/// parameter that holds \p Key, also percent-encoded. Returns false when the
/// path holds it, so that the request cannot be sent on without it.
bool stripKey(std::string_view Key, std::vector<Header> &Headers,
              std::string &Target);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_KEYSTRIP_H
