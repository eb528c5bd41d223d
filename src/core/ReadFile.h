/// \file
/// Reads a whole file of bounded size.

#ifndef FESCUEWOOD_CORE_READFILE_H
#define FESCUEWOOD_CORE_READFILE_H

#include <cstddef>
#include <optional>
#include <string>

namespace fescuewood {

/// Returns the contents of a file, or std::nullopt when it cannot be read, is
/// not a regular file or is larger than \p MaxBytes.
std::optional<std::string> readFile(const std::string &Path,
                                    std::size_t MaxBytes);

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_READFILE_H
