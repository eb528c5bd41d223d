/// \file
/// Header fields that the mesh itself reads, and those that end at each hop.
///
/// A request or answer that is carried on first loses its hop-by-hop fields
/// (RFC 9110, section 7.6.1); the next hop sets its own.

#ifndef FESCUEWOOD_CALLERS_HEADERFIELDS_H
#define FESCUEWOOD_CALLERS_HEADERFIELDS_H

#include "calls/Call.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Whether a byte may stand in a field name (RFC 9110, section 5.6.2).
bool isTokenByte(unsigned char Byte);

/// Whether a byte may stand in a field's value (RFC 9110, section 5.5); those
/// above 0x7f may be part of any charset.
bool isTextByte(unsigned char Byte);

/// A field's value without the blanks around it.
std::string_view trimmedValue(std::string_view Value);

/// Compares field names, which are case-insensitive.
bool sameFieldName(std::string_view Left, std::string_view Right);

/// The value of the first field of this name, or null.
const std::string *findField(const std::vector<Header> &Fields,
                             std::string_view Name);

/// A field's value as a decimal number; nothing when it is absent or malformed.
std::optional<std::uint64_t> numberField(const std::vector<Header> &Fields,
                                         std::string_view Name);

/// Sets a field to one value, in place of every one of this name; an empty
/// value only removes them. Nothing happens for an empty name.
void setField(std::vector<Header> &Fields, const std::string &Name,
              std::string Value);

/// Removes every field of this name.
void removeField(std::vector<Header> &Fields, std::string_view Name);

/// Removes the hop-by-hop fields, those that `Connection` names included, and
/// the fields that describe the framing of this hop (`Content-Length`,
/// `Transfer-Encoding`, `Expect`).
void removeHopFields(std::vector<Header> &Fields);

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_HEADERFIELDS_H
