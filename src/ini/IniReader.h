/// \file
/// INI reader that never truncates or joins input silently.
///
/// Lines are split by the library inih. On its own inih truncates section names
/// to 49 bytes, ends values at " ;", appends indented lines to the previous
/// value, splits a line that exceeds its buffer, drops empty sections and text
/// after ']', accepts ':' in place of '=', and does not detect duplicates.
/// Every line is therefore checked before inih parses it, and a line that inih
/// would alter is reported as a problem with file and line.
///
/// A leading byte order mark and CR LF line endings are accepted. Comments are
/// on separate lines and start with ';' or '#'. White space around names and
/// values is removed. Names are case-sensitive.

#ifndef FESCUEWOOD_INI_INIREADER_H
#define FESCUEWOOD_INI_INIREADER_H

#include "ini/Problem.h"

#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Maximum length of a line in bytes, without the line ending.
inline constexpr std::size_t MaxIniLineBytes = 4000;

/// Maximum length in bytes of a section kind, a section name or a key.
inline constexpr std::size_t MaxIniNameBytes = 64;

/// Maximum number of keys in one section. No section defines as many; the limit
/// bounds the cost of duplicate detection for any input.
inline constexpr std::size_t MaxIniSectionKeys = 256;

/// A "name = value" line.
struct IniEntry {
  std::string Name;
  std::string Value;
  std::size_t Line = 0;
};

/// A section: heading "[kind]" or "[kind name]" and its entries.
struct IniSection {
  std::string Kind;
  std::string Name; ///< Empty for "[kind]".
  std::size_t Line = 0;
  std::vector<IniEntry> Entries;

  /// "[kind]" or "[kind name]".
  std::string heading() const;
};

/// Reads a complete text. Lines with a problem are missing from the result, so
/// the caller must not use the result when a problem is reported.
std::vector<IniSection> readIni(std::string_view Text,
                                std::string_view FileName,
                                Problems &ProblemList);

/// Whether \p Text is a valid name: lower-case letters, digits, '-', '_',
/// '.' and '/', starting with a letter or digit, at most MaxIniNameBytes.
bool isIniName(std::string_view Text);

/// Description of the names that \ref isIniName accepts, for messages.
inline constexpr std::string_view IniNameForm =
    "a name of lower-case letters, digits, '-', '_', '.' or '/'";

} // namespace fescuewood

#endif // FESCUEWOOD_INI_INIREADER_H
