/// \file
/// The difference between two versions, by file.
///
/// A node that holds the base rebuilds the target from it; one that does not
/// asks for the whole bundle instead.

#ifndef FESCUEWOOD_INTENT_BUNDLEDELTA_H
#define FESCUEWOOD_INTENT_BUNDLEDELTA_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// What turns one bundle into another.
struct BundleDelta {
  Version Base;
  Version Target;
  std::vector<IntentFile> Changed;  ///< New or with another text, by name.
  std::vector<std::string> Removed; ///< By name.

  bool operator==(const BundleDelta &) const = default;

  /// Bytes of names and texts carried.
  std::size_t payloadBytes() const;
};

/// The smallest delta by whole files from \p Base to \p Target.
BundleDelta makeDelta(const IntentBundle &Base, const IntentBundle &Target);

/// Rebuilds the target. Returns nothing when \p Base is not the delta's base,
/// or when the result is not exactly the version that the delta names.
std::optional<IntentBundle> applyDelta(const IntentBundle &Base,
                                       const BundleDelta &Delta);

} // namespace fescuewood

#endif // FESCUEWOOD_INTENT_BUNDLEDELTA_H
