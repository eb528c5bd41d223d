/// \file
/// Extraction of a caller's key from a request, and its removal.

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

/// Returns whether a text is an active key.
using KeyPredicate = std::function<bool(std::string_view)>;

/// Returns the key of a request: from the key field, else from a bearer token
/// that is a key, else from the query parameter. Returns std::nullopt if there
/// is none, or if the same place has two different keys.
std::optional<std::string> presentedKey(const std::vector<Header> &Headers,
                                        std::string_view Target,
                                        const KeyPredicate &IsKey);

/// Returns the key in the key field of \p Scheme, or std::nullopt if there is
/// none or there are two different keys.
std::optional<std::string> presentedKey(const std::vector<Header> &Headers,
                                        const HeaderScheme &Scheme);

/// Removes the key field of \p Scheme if it contains a key.
void stripKey(std::vector<Header> &Headers, const HeaderScheme &Scheme);

/// Removes the key field, the key parameter, and every header field and query
/// parameter that contains \p Key, also percent-encoded. Returns false if the
/// path contains it, since the request then cannot be forwarded without it.
bool stripKey(std::string_view Key, std::vector<Header> &Headers,
              std::string &Target);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLS_KEYSTRIP_H
