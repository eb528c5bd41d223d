/// \file
/// Reads a whole file of bounded size.

#ifndef FESCUEWOOD_CORE_READFILE_H
#define FESCUEWOOD_CORE_READFILE_H

#include <cstddef>
#include <optional>
#include <string>

namespace fescuewood {

/// The file's bytes, or nothing when it cannot be read, is no regular file or
/// has more than \p MaxBytes.
std::optional<std::string> readFile(const std::string &Path,
                                    std::size_t MaxBytes);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_READFILE_H
