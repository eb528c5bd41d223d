/// \file
/// Compares two decoded configurations by entry and field.

#ifndef FESCUEWOOD_CHECK_CONFIGDIFFERENCE_H
#define FESCUEWOOD_CHECK_CONFIGDIFFERENCE_H

#include "check/ConfigEntries.h"
#include "intent/Snapshot.h"

#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// One field that differs, or one entry that is only in one configuration.
struct Difference {
  std::string Entry;              ///< Kind and name, such as "route read".
  std::string Field;              ///< Empty for a whole entry.
  std::optional<std::string> Old; ///< Absent if the entry is new.
  std::optional<std::string> New; ///< Absent if the entry is removed.
  /// Whether requests are refused or go elsewhere as soon as the version is in
  /// force: a key is withdrawn, a route is removed or matches other requests,
  /// or a route's destination changes.
  bool Immediate = false;

  /// "+ entry", "- entry" or "~ entry: field: old -> new", with
  /// " (immediate)" at the end where this applies.
  std::string text() const;
};

using Differences = std::vector<Difference>;

/// Returns what changes from \p Old to \p New, sorted by entry and field. Keys
/// are identified by organisation and digest, since the platform's form does
/// not name them.
Differences compareConfigurations(const Snapshot &Old, const Snapshot &New);

/// As \ref compareConfigurations, for entries.
Differences compareEntries(const ConfigEntries &Before,
                           const ConfigEntries &After);

} // namespace fescuewood

#endif // FESCUEWOOD_CHECK_CONFIGDIFFERENCE_H
