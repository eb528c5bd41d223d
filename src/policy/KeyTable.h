/// \file
/// Lookup table from API keys to the organisations that hold them.
///
/// A table is built from a \ref Snapshot and immutable; each configuration
/// version has a new table, without the keys that were withdrawn. The table
/// stores only digests, and does not retain the text of a presented key.

#ifndef FESCUEWOOD_POLICY_KEYTABLE_H
#define FESCUEWOOD_POLICY_KEYTABLE_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Longest accepted key text, in bytes; longer keys are unknown.
inline constexpr std::size_t MaxKeyBytes = 512;

/// Immutable, hence safe to read from any thread.
class KeyTable {
public:
  KeyTable() = default;
  explicit KeyTable(const Snapshot &Source);

  /// Returns the organisation that holds the key, if any. A digest that two
  /// organisations declare identifies neither. The view is valid for the
  /// lifetime of the table. The lookup time depends only on the number of keys.
  std::optional<std::string_view> identify(std::string_view KeyText) const;

  /// As above, for callers that store the digest of an open connection's key to
  /// look it up again after each new version.
  std::optional<std::string_view> identify(const Digest &KeyDigest) const;

  std::size_t size() const { return Entries.size(); }

private:
  struct Entry {
    Digest Sha256;
    std::string Organisation;
  };

  std::vector<Entry> Entries;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_KEYTABLE_H
