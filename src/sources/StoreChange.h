/// \file
/// Client interface to a key-value store, independent of its protocol and key
/// layout.

#ifndef FESCUEWOOD_SOURCES_STORECHANGE_H
#define FESCUEWOOD_SOURCES_STORECHANGE_H

#include "sources/PlatformSource.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Kind of an item in the store.
enum class StoreSubject : std::uint8_t {
  Configuration, ///< The operators' complete configuration.
  DomainOut, ///< A failure domain that gets no work; named by the item's name.
  Target,    ///< The entry of a target; the item's name is its id.
  Other,
};

/// An item that was written, or its removal.
struct StoreChange {
  StoreSubject Subject = StoreSubject::Other;
  std::string Key;
  std::string Name;
  std::string Value; ///< Empty when removed.
  std::uint64_t Revision = 0;
  bool Removed = false;
  /// Whether only the key could be read: nothing is known of the value, nor
  /// whether the item was removed. The revision is that of the answer.
  bool Unreadable = false;
};

/// A page of the items under a prefix, in key order. Items whose key cannot be
/// read are only counted. Not a snapshot: a later
/// page may contain later revisions.
struct StorePage {
  std::vector<StoreChange> Items;
  bool HasMore = false;
  std::uint64_t Revision = 0; ///< Revision of the store when it answered.
  std::size_t Unreadable = 0; ///< Items that could not be read.
};

/// The changes after a revision.
struct StoreChanges {
  std::vector<StoreChange> Changes;
  std::uint64_t Revision = 0; ///< Where the next watch starts.
  std::size_t Unreadable = 0; ///< Items that could not be read.
};

/// The operations of a store. They are made from a single thread, may block and
/// return early once Cancel was called.
struct StoreCalls {
  /// Reads a page of the items of a subject whose keys follow \p AfterKey; an
  /// empty key starts at the first item.
  std::function<PlatformRead<StorePage>(StoreSubject,
                                        std::string_view AfterKey)>
      Range;
  /// Waits up to \p Wait for a change after a revision. The reason is
  /// StoreHistoryGone when the store no longer has the history since that
  /// revision.
  std::function<PlatformRead<StoreChanges>(std::uint64_t AfterRevision,
                                           DurationMs Wait)>
      Watch;
  /// Decodes the entry of a target; std::nullopt when it names no usable
  /// target.
  std::function<std::optional<ListedInstance>(std::string_view Id,
                                              std::string_view Value)>
      DecodeTarget;
  /// Number that orders two configurations, whatever their revisions; 0 if the
  /// configuration has none. May be empty: no configuration has one.
  std::function<std::uint64_t(std::string_view Value)> ConfigurationNumber = {};
  /// Makes a blocked call and all later ones return. Callable from any thread.
  std::function<void()> Cancel;
};

/// State of a store as another node has read it.
struct RelayedChanges {
  bool Whole = false; ///< All items, not only those changed since a revision.
  StoreChanges Read;  ///< Each item once, in its newest state.
  TimeMs ProvenAt;    ///< Nothing newer than \ref Read existed at this time.
};

/// Reads of the store through other nodes of the failure domain. All hooks are
/// empty on a node that always reads the store itself.
struct RelayCalls {
  /// Whether this node is one of those that read the store for the others.
  std::function<bool()> IsReader;
  /// Addresses of the other nodes that read the store.
  std::function<std::vector<std::string>()> Addresses;
  /// Waits up to \p Wait until a node knows of a change after a revision, or
  /// has a new proof that there is none. May block a little longer.
  std::function<PlatformRead<RelayedChanges>(
      const std::string &Address, std::uint64_t AfterRevision, DurationMs Wait)>
      Read;
};

/// How a read has changed what a node knows of the store.
struct ReplicaUpdate {
  enum class Extent : std::uint8_t {
    Changes,    ///< Items that have changed.
    AllTargets, ///< The items of all targets.
    AllItems,
  };
  Extent Kind = Extent::Changes;
  StoreChanges Read;
  std::optional<TimeMs> ProvenAt; ///< As in \ref RelayedChanges.
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STORECHANGE_H
