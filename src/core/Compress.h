/// \file
/// Raw deflate compression by zlib, with a bound on the decompressed size.

#ifndef FESCUEWOOD_CORE_COMPRESS_H
#define FESCUEWOOD_CORE_COMPRESS_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Compresses \p Bytes. Repetitive text becomes several times smaller;
/// incompressible input grows by a few bytes.
std::string compress(std::string_view Bytes);

/// Decompresses the output of \ref compress. Returns std::nullopt when the
/// input is truncated, malformed or followed by other bytes, or when the result
/// exceeds \p MaxBytes. The result buffer never grows beyond \p MaxBytes.
std::optional<std::string> decompress(std::string_view Compressed,
                                      std::size_t MaxBytes);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_COMPRESS_H
