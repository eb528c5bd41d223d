/// \file
/// Functions that parse, look up and remove HTTP header fields.
///
/// Hop-by-hop fields (RFC 9110, section 7.6.1) are removed before a request or
/// answer is forwarded; the next hop sets its own.

#ifndef FESCUEWOOD_CALLERS_HEADERFIELDS_H
#define FESCUEWOOD_CALLERS_HEADERFIELDS_H

#include "calls/Call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Whether a byte is allowed in a field name (RFC 9110, section 5.6.2).
bool isTokenByte(unsigned char Byte);

/// Whether a byte is allowed in a field value (RFC 9110, section 5.5). Bytes
/// above 0x7f are allowed, since they may belong to any charset.
bool isFieldValueByte(unsigned char Byte);

/// Whether a text consists of such bytes only.
bool isFieldValue(std::string_view Text);

/// Removes leading and trailing spaces and tabs from a field value.
std::string_view trimmedFieldValue(std::string_view Value);

/// Compares field names, which are case-insensitive.
bool isSameFieldName(std::string_view Left, std::string_view Right);

/// The value of the first field with this name, or null.
const std::string *findField(const std::vector<Header> &Fields,
                             std::string_view Name);

/// A field's value as a decimal number; std::nullopt if absent or malformed.
std::optional<std::uint64_t> parseNumberField(const std::vector<Header> &Fields,
                                              std::string_view Name);

/// A field's value as a non-negative number that may have a fraction;
/// std::nullopt if absent or malformed.
std::optional<double> parseDecimalField(const std::vector<Header> &Fields,
                                        std::string_view Name);

/// Replaces all fields with this name by a single one. An empty value only
/// removes them; an empty name has no effect.
void setField(std::vector<Header> &Fields, const std::string &Name,
              std::string Value);

/// Removes all fields with this name.
void removeField(std::vector<Header> &Fields, std::string_view Name);

/// Removes hop-by-hop fields, including those listed in `Connection`, and the
/// fields that control the transfer on this hop (`Content-Length`,
/// `Transfer-Encoding`, `Expect`).
void removeHopByHopFields(std::vector<Header> &Fields);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_HEADERFIELDS_H
