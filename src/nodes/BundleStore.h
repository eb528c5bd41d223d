/// \file
/// The newest few versions as files: what a node serves to others, whole or as
/// a delta, and the base to which it applies the deltas that it gets.

#ifndef FESCUEWOOD_NODES_BUNDLESTORE_H
#define FESCUEWOOD_NODES_BUNDLESTORE_H

#include "intent/Snapshot.h"
#include "nodes/ControlMessages.h"

#include <cstddef>
#include <deque>
#include <optional>

namespace fescuewood {

/// Versions that were in force on this node. Not thread-safe.
class BundleStore {
public:
  /// \param Capacity versions kept; at least 1.
  explicit BundleStore(std::size_t Capacity) : Capacity(Capacity) {}

  /// Adds the version that is in force from now on.
  void add(const Version &Id, IntentBundle Bundle);

  /// The version that is held as \p Old goes by \p Id from now on.
  void rename(const Version &Old, const Version &Id);

  /// Answers a fetch with the version in force when it is at least the one
  /// wanted: as a delta when the base is held and the delta is smaller.
  FetchReply serve(const FetchRequest &Request) const;

  /// The bundle that a reply carries, checked against its own digest; nothing
  /// when it carries none, or a delta whose base is not held.
  std::optional<IntentBundle> open(FetchReply Reply) const;

private:
  struct Held {
    Version Id;
    IntentBundle Bundle;
  };

  const Held *find(const Version &Id) const;

  std::size_t Capacity;
  std::deque<Held> Versions; ///< The one in force last.
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_BUNDLESTORE_H
