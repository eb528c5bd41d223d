/// \file
/// Tells UTF-8 from other bytes.

#ifndef FESCUEWOOD_CORE_UTF8_H
#define FESCUEWOOD_CORE_UTF8_H

#include <string_view>

namespace fescuewood {

/// Whether \p Text is well-formed UTF-8 (RFC 3629). JSON holds nothing else, so
/// other bytes would be changed on their way through it.
bool isUtf8(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_UTF8_H
