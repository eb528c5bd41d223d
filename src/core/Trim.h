/// \file
/// Trimming of leading and trailing characters.

#ifndef FESCUEWOOD_CORE_TRIM_H
#define FESCUEWOOD_CORE_TRIM_H

#include <string_view>

namespace fescuewood {

/// Returns \p Text without its leading and trailing bytes that are in \p
/// Blanks.
inline std::string_view trimmed(std::string_view Text,
                                std::string_view Blanks) {
  const std::size_t First = Text.find_first_not_of(Blanks);
  if (First == std::string_view::npos)
    return {};
  return Text.substr(First, Text.find_last_not_of(Blanks) - First + 1);
}

} // namespace fescuewood

#endif // FESCUEWOOD_CORE_TRIM_H
