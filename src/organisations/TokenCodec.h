/// \file
/// Bytes of the messages about rate tokens, in msgpack.
///
/// Numbers that grant something are rounded down, so that no tokens arise from
/// the narrower form on the wire.

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

/// Most asks or grants in one message.
inline constexpr std::size_t MaxTokenItems = 64;

/// Largest message about tokens, in bytes.
inline constexpr std::size_t MaxTokenMessageBytes = 16 * 1024;

std::string encodeTokenRequests(std::span<const TokenRequest> TokenRequests);
std::string encodeGrants(std::span<const TokenGrant> Grants);

/// Nothing for bytes that are too many, malformed or out of range.
std::optional<std::vector<TokenRequest>> decodeAsks(std::string_view Bytes);
std::optional<std::vector<TokenGrant>> decodeGrants(std::string_view Bytes);

} // namespace fescuewood

#endif // FESCUEWOOD_ORGANISATIONS_TOKENCODEC_H
