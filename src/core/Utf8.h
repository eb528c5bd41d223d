/// \file
/// UTF-8 validation.

#ifndef FESCUEWOOD_CORE_UTF8_H
#define FESCUEWOOD_CORE_UTF8_H

#include <string_view>

namespace fescuewood {

/// Whether \p Text is well-formed UTF-8 (RFC 3629). JSON can represent nothing
/// else, so other bytes would not survive a round trip.
bool isUtf8(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_UTF8_H
