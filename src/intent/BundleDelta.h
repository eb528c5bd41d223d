/// \file
/// A file-level delta between two configuration versions.
///
/// A node that holds the base version rebuilds the target version from the
/// delta; any other node requests the whole bundle instead.

#ifndef FESCUEWOOD_INTENT_BUNDLEDELTA_H
#define FESCUEWOOD_INTENT_BUNDLEDELTA_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// The files that differ between a base and a target bundle.
struct BundleDelta {
  Version Base;
  Version Target;
  std::vector<IntentFile> Changed; ///< Added or modified files, sorted by name.
  std::vector<std::string> Removed; ///< Names of deleted files, sorted.

  bool operator==(const BundleDelta &) const = default;

  /// Total size of the file names and texts in the delta, in bytes.
  std::size_t payloadBytes() const;
};

/// Returns the smallest delta in whole files from \p Base to \p Target.
BundleDelta makeDelta(const IntentBundle &Base, const IntentBundle &Target);

/// Rebuilds the target bundle. Returns std::nullopt if \p Base is not the
/// delta's base version or if the result does not have the target version.
std::optional<IntentBundle> applyDelta(const IntentBundle &Base,
                                       const BundleDelta &Delta);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_BUNDLEDELTA_H
