/// \file
/// Reads a configuration for the `check` command in either of its forms,
/// through the readers that a running node uses.

#ifndef FESCUEWOOD_APP_CHECKINPUT_H
#define FESCUEWOOD_APP_CHECKINPUT_H

#include "check/ConfigEntries.h"
#include "ini/Problem.h"
#include "intent/Snapshot.h"

#include <cstddef>
#include <iosfwd>
#include <optional>
#include <string>

namespace fescuewood {

/// Name that stands for the standard input.
inline constexpr const char *StandardInputName = "-";

/// Largest JSON text that is read, in bytes. 1,400 routes take about 0.4 MB.
inline constexpr std::size_t MaxCheckedBytes = 4 * 1024 * 1024;

/// A configuration as read, or the reasons why a node would refuse it.
struct CheckInput {
  SnapshotPtr Config; ///< Null if there are problems, or read from a node.
  /// Absent if the configuration is invalid or unreadable.
  std::optional<ConfigEntries> Entries;
  Problems Found;
  /// Whether the form declares failure domains. In the platform's form they
  /// come from nodes' settings.
  bool HasDomains = false;
  std::string Merged;   ///< Values with their origins; for folders only.
  bool Readable = true; ///< False if a file or folder cannot be read.
};

/// Reads a folder of intent files; any other path is read as a file in the
/// platform's JSON form. Never throws for a malformed input.
/// \param Standard is read when \p Path is \ref StandardInputName.
CheckInput readCheckInput(const std::string &Path, std::istream &Standard);

/// Reads what a node's operator port shows of the configuration in force.
/// \param Page std::nullopt if the node could not be queried.
CheckInput readNodePage(const std::string &Address,
                        const std::optional<std::string> &Page);

} // namespace fescuewood

#endif // FESCUEWOOD_APP_CHECKINPUT_H
