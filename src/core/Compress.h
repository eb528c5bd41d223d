/// \file
/// Makes bytes shorter and restores them: zlib's raw deflate, bounded.

#ifndef FESCUEWOOD_CORE_COMPRESS_H
#define FESCUEWOOD_CORE_COMPRESS_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Bytes that \ref decompress restores. Text that repeats itself becomes
/// several times shorter; anything else grows by a few bytes.
std::string compress(std::string_view Bytes);

/// The original, or nothing when the input is no whole compressed text or
/// restores to more than \p MaxBytes; no more than that is ever allocated.
std::optional<std::string> decompress(std::string_view Compressed,
                                      std::size_t MaxBytes);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_COMPRESS_H
