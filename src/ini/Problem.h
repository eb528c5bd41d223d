/// \file
/// What is wrong with a text that people wrote, and where.

#ifndef FESCUEWOOD_INI_PROBLEM_H
#define FESCUEWOOD_INI_PROBLEM_H

#include "core/ResultCode.h"

#include <cstddef>
#include <string>
#include <vector>

namespace fescuewood {

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

/// Every problem on a line of its own, in the order of file and line.
std::string problemsText(const Problems &Found);

} // namespace fescuewood

#endif // FESCUEWOOD_INI_PROBLEM_H
