/// \file
/// Problems found in settings and intent texts, with their location.

#ifndef FESCUEWOOD_INI_PROBLEM_H
#define FESCUEWOOD_INI_PROBLEM_H

#include "core/ResultCode.h"

#include <compare>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Maximum number of problems listed for one text.
inline constexpr std::size_t MaxProblems = 500;

/// Location in a file; line 0 denotes the whole file.
struct SourceLocation {
  std::string File;
  std::size_t Line = 0; ///< From 1.

  auto operator<=>(const SourceLocation &) const = default;

  /// "file:line", or the file name alone when the line is 0.
  std::string text() const;
};

/// An error because of which a text is rejected.
struct Problem {
  ResultCode Code;
  SourceLocation Where;
  std::string Name;   ///< "[section] key", or another subject; may be empty.
  std::string Detail; ///< Actual and expected input.

  /// "file:line: [section] key: detail (code NNN)".
  std::string text() const;
};

using Problems = std::vector<Problem>;

/// Adds a problem. Beyond \ref MaxProblems a single final entry states that the
/// list is truncated, which bounds memory for large invalid texts.
void report(Problems &ProblemList, Problem NewProblem);

/// Sorts problems by file and line; stable for problems on one line.
void sortProblems(Problems &ProblemList);

/// All problems as text, one per line.
std::string problemsText(const Problems &ProblemList);

/// Quotes \p Text for a message, truncated if long and with control characters
/// replaced by '?'.
std::string quotedText(std::string_view Text);

} // namespace fescuewood

#endif // FESCUEWOOD_INI_PROBLEM_H
