/// \file
/// Msgpack codec for the messages of TokenMessages.h.
///
/// Amounts are sent as 32-bit floats. Those in grants are rounded down, so that
/// encoding never creates tokens.

#ifndef FESCUEWOOD_ORGANISATIONS_TOKENCODEC_H
#define FESCUEWOOD_ORGANISATIONS_TOKENCODEC_H

#include "policy/TokenMessages.h"

#include <cstddef>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Maximum lease requests or grants in one message.
inline constexpr std::size_t MaxTokenItems = 64;

/// Maximum size of an encoded message, in bytes.
inline constexpr std::size_t MaxTokenMessageBytes = 16 * 1024;

std::string encodeTokenRequests(std::span<const TokenRequest> TokenRequests);
std::string encodeGrants(std::span<const TokenGrant> Grants);

/// Return std::nullopt if the message is too large, malformed or has a value
/// out of range.
std::optional<std::vector<TokenRequest>>
decodeTokenRequests(std::string_view Bytes);
std::optional<std::vector<TokenGrant>> decodeGrants(std::string_view Bytes);

} // namespace fescuewood

#endif // FESCUEWOOD_ORGANISATIONS_TOKENCODEC_H
