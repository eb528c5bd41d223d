/// \file
/// Finds the organisation whose key a caller showed.
///
/// The table is built from a \ref Snapshot and never changes; a new version
/// brings a new table, so a withdrawn key ends with the table that held it.
/// Only digests are held. The text of a shown key is hashed and forgotten.

#ifndef FESCUEWOOD_POLICY_KEYTABLE_H
#define FESCUEWOOD_POLICY_KEYTABLE_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Longest key text that is looked at, in bytes; a longer one is unknown.
inline constexpr std::size_t MaxKeyBytes = 512;

/// Immutable, hence safe to read from any thread.
class KeyTable {
public:
  KeyTable() = default;
  explicit KeyTable(const Snapshot &Source);

  /// The organisation that holds the key, or nothing if none does. A digest
  /// that two organisations declare identifies neither. The view lives as long
  /// as the table. The time taken depends on the number of keys only.
  std::optional<std::string_view> identify(std::string_view KeyText) const;

  /// As \ref identify, for a caller that keeps the digest of an open
  /// connection's key so as to ask again after each new version.
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
