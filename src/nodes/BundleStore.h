/// \file
/// Store of the newest few versions as files. A node serves them to others,
/// whole or as a delta, and applies received deltas to them.

#ifndef FESCUEWOOD_NODES_BUNDLESTORE_H
#define FESCUEWOOD_NODES_BUNDLESTORE_H

#include "intent/Snapshot.h"
#include "nodes/ControlMessages.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace fescuewood {

/// Bounded store of the versions that were in force on this node. Not
/// thread-safe.
class BundleStore {
public:
  /// \param Capacity maximum number of versions; at least 1.
  explicit BundleStore(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds the version that came into force, dropping the oldest one when full.
  void add(const Version &Id, IntentBundle Bundle);

  /// Changes the id of a stored version from \p Old to \p Id.
  void rename(const Version &Old, const Version &Id);

  /// Answers a fetch with the version in force if that is at least the one
  /// wanted: as a delta if the base is stored and the delta is smaller than the
  /// whole.
  FetchReply serve(const FetchRequest &Request) const;

  /// Returns the bundle of a reply, applying a delta to its base. A delta's
  /// result is checked against its digest. Returns std::nullopt when the reply
  /// is empty, the base is not stored or the delta does not apply.
  std::optional<IntentBundle> open(FetchReply Reply) const;

private:
  struct StoredBundle {
    Version Id;
    IntentBundle Bundle;
  };

  const StoredBundle *find(const Version &Id) const;

  std::size_t Capacity;
  std::deque<StoredBundle> Versions; ///< Oldest first; the last is in force.
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_BUNDLESTORE_H
