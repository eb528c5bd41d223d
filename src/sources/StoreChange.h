/// \file
/// What a store of keys and values tells, in the project's own terms.

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

/// What an item of the store is about.
enum class StoreSubject : std::uint8_t {
  Configuration, ///< The operators' whole configuration.
  DomainOut,     ///< A failure domain is to get no work; the name says which.
  Target,        ///< A target's own entry; the name is its id.
  Other,
};

/// An item as it was written, or its removal.
struct StoreChange {
  StoreSubject Subject = StoreSubject::Other;
  std::string Key;
  std::string Name;
  std::string Value; ///< Empty when removed.
  std::uint64_t Revision = 0;
  bool Removed = false;
};

/// Some items under a prefix, in the order of their keys. Not a snapshot: a
/// later page may show later revisions.
struct StorePage {
  std::vector<StoreChange> Items;
  bool HasMore = false;
  std::uint64_t Revision = 0; ///< Of the store when it answered.
};

/// What has changed since the revision that was asked for.
struct StoreChanges {
  std::vector<StoreChange> Changes;
  std::uint64_t Revision = 0; ///< To ask from the next time.
};

/// The calls of a store. They may block and are made from one thread; they
/// return early once Cancel was called.
struct StoreCalls {
  /// Items of a subject behind a key; an empty key starts at the first.
  std::function<PlatformRead<StorePage>(StoreSubject, std::string_view After)>
      Range;
  /// Waits up to \p Wait for a change behind a revision. The reason is
  /// StoreHistoryGone where the store does not know that revision any more.
  std::function<PlatformRead<StoreChanges>(std::uint64_t After,
                                           DurationMs Wait)>
      Watch;
  /// Decodes a target's entry; nothing where it names no target to use.
  std::function<std::optional<ListedInstance>(std::string_view Id,
                                              std::string_view Value)>
      DecodeTarget;
  /// Makes a blocked call and all later ones return; from any thread.
  std::function<void()> Cancel;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STORECHANGE_H
