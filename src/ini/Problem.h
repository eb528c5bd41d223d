/// \file
/// What is wrong with a text that people wrote, and where.

#ifndef FESCUEWOOD_INI_PROBLEM_H
#define FESCUEWOOD_INI_PROBLEM_H

#include "core/ResultCode.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Most problems that one text is given; later ones are only counted as more.
inline constexpr std::size_t MaxProblems = 500;

/// A place in a file; line 0 stands for the file as a whole.
struct SourceLine {
  std::string File;
  std::size_t Line = 0; ///< From 1.

  auto operator<=>(const SourceLine &) const = default;

  /// "file:line", or only the file when the line is 0.
  std::string text() const;
};

/// One error that keeps a text from being accepted.
struct Problem {
  ResultCode Code;
  SourceLine Where;
  std::string Name;   ///< "[section] key", or what else is at fault.
  std::string Detail; ///< What was found and what was expected instead.

  /// "file:line: [section] key: detail (code NNN)".
  std::string text() const;
};

using Problems = std::vector<Problem>;

/// Adds a problem. Beyond \ref MaxProblems one last entry says that there are
/// more, so that a large text of nonsense costs bounded memory.
void report(Problems &Found, Problem Next);

/// Orders problems by file and line, and keeps the order of those of one line.
void sortProblems(Problems &Found);

/// Every problem on a line of its own.
std::string problemsText(const Problems &Found);

/// \p Text in quotes for a message: cut when long, control characters as '?'.
std::string quotedText(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_INI_PROBLEM_H
