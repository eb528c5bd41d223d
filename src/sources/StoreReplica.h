/// \file
/// Copy of a store's items that a node keeps in order to answer other nodes.
///
/// It holds the newest state of each item and, for a bounded number of removed
/// ones, that they were removed. It can therefore return the changes after a
/// revision without a log of all of them, each item once.

#ifndef FESCUEWOOD_SOURCES_STOREREPLICA_H
#define FESCUEWOOD_SOURCES_STOREREPLICA_H

#include "sources/StoreChange.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// Removed items of which a replica keeps that they were removed.
inline constexpr std::size_t MaxRemovedItems = 4096;

/// Items of one store by key. Not thread-safe.
class StoreReplica {
public:
  void update(const ReplicaUpdate &Update);

  /// Whether nothing has been read yet.
  bool empty() const { return CompleteSince == 0; }

  /// The replica holds all changes up to this revision, and perhaps some later
  /// ones.
  std::uint64_t revision() const { return Revision; }

  /// The items that changed after a revision; std::nullopt when removals after
  /// it are no longer known.
  std::optional<StoreChanges> changesAfter(std::uint64_t After) const;

  /// All items that exist.
  StoreChanges whole() const;

private:
  void put(const StoreChange &Item);
  void removeMissing(const StoreChanges &Read,
                     const std::function<bool(const StoreChange &)> &Concerns);
  void forgetOldRemovals();

  std::map<std::string, StoreChange, std::less<>> Items;
  std::size_t RemovedCount = 0;
  std::uint64_t Revision = 0;
  /// Revision from which on every removal is known; 0 before the first read.
  std::uint64_t CompleteSince = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STOREREPLICA_H
