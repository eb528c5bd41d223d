/// \file
/// Reads INI text into sections, so that nothing is cut or joined silently.
///
/// The library inih splits the lines. By itself it cuts section names at 49
/// bytes, ends values at " ;", joins indented lines to the value above, reads
/// a line that is longer than its buffer as several, drops empty sections and
/// what follows a ']', takes ':' for '=', and leaves duplicates to its user.
/// Every line is therefore checked before inih sees it: what it would change
/// becomes a problem with file and line.
///
/// Defined results: a byte order mark at the start and CR LF line ends are
/// accepted, comments stand on lines of their own and start with ';' or '#',
/// blanks around names and values are dropped, and case always matters.

#ifndef FESCUEWOOD_INI_INIREADER_H
#define FESCUEWOOD_INI_INIREADER_H

#include "ini/Problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Longest line that is accepted, in bytes without its end.
inline constexpr std::size_t MaxIniLineBytes = 4000;

/// Longest name of a section, of what it describes, or of a key, in bytes.
inline constexpr std::size_t MaxIniNameBytes = 64;

/// Most keys of one section. No section knows as many; the bound keeps the
/// search for duplicates short, whatever a file holds.
inline constexpr std::size_t MaxIniSectionKeys = 256;

/// One "name = value" line.
struct IniEntry {
  std::string Name;
  std::string Value;
  std::size_t Line = 0;
};

/// One heading, "[kind]" or "[kind name]", and the entries below it.
struct IniSection {
  std::string Kind;
  std::string Name; ///< Empty for "[kind]".
  std::size_t Line = 0;
  std::vector<IniEntry> Entries;

  /// "[kind name]".
  std::string heading() const;
};

/// Reads a whole text. Lines with a problem are left out of the result, so a
/// caller must not use it when there is one.
std::vector<IniSection> readIni(std::string_view Text,
                                std::string_view FileName, Problems &Found);

/// Whether \p Text can name something: lower-case letters, digits, '-', '_',
/// '.' and '/', starting with a letter or digit, at most MaxIniNameBytes.
bool isIniName(std::string_view Text);

/// What \ref isIniName accepts, for messages.
inline constexpr std::string_view IniNameForm =
    "a name of lower-case letters, digits, '-', '_', '.' or '/'";

} // namespace fescuewood

#endif // FESCUEWOOD_INI_INIREADER_H
