/// \file
/// What a node knows of a store, and reports of it to the rest of the process.
///
/// \ref StoreLoop decides what is read and when; the view applies what was
/// read, whoever read it, and reports each change once.

#ifndef FESCUEWOOD_SOURCES_STOREVIEW_H
#define FESCUEWOOD_SOURCES_STOREVIEW_H

#include "policy/TargetList.h"
#include "sources/StoreBundle.h"
#include "sources/StoreChange.h"
#include "sources/StoreLoopHooks.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// The target that this node serves.
struct OwnTarget {
  std::string Address; ///< "IP:port".
  std::string Service;
};

/// State of one store as this node knows it. Not thread-safe.
class StoreView {
public:
  using DecodeTargetHook = std::function<std::optional<ListedInstance>(
      std::string_view Id, std::string_view Value)>;

  /// \param Hooks must outlive the view.
  StoreView(OwnTarget LocalTarget, const StoreLoopHooks &Hooks,
            DecodeTargetHook DecodeTarget);

  /// Whether the intent has been read as a whole and may be followed from \ref
  /// revision on.
  bool hasIntent() const { return IntentReadAt > 0; }

  /// The changes after this revision are still to be read.
  std::uint64_t revision() const { return Revision; }

  TargetList &targets() { return Targets; }
  const TargetList &targets() const { return Targets; }

  /// Applies a full reading of the targets. Its items keep their own revisions,
  /// which may be later than that of the reading.
  void onTargetsRead(const StorePage &Range, TimeMs Now);

  /// Applies a full reading of the intent.
  void onIntentRead(const StorePage &Range);

  /// Requires the intent to be read as a whole again.
  void forgetIntent() { IntentReadAt = 0; }

  /// Applies the changes after \ref revision and returns those that are new.
  StoreChanges apply(StoreChanges Read, TimeMs Now);

  /// Applies the items of a whole store.
  void replaceAll(const StoreChanges &Whole, TimeMs Now);

  /// Counts items that could not be read.
  void countLeftOut(std::size_t Count) { LeftOut += Count; }

  /// Reports changes to the hooks; changes of targets only once all targets
  /// have been read.
  void publish();

  /// Reports that the intent was current at \p ProvenAt. The intent itself must
  /// have been published before.
  void reportProof(TimeMs ProvenAt) const;

private:
  bool isNew(const StoreChange &Change) const;
  void applyItem(const StoreChange &Change, TimeMs Now);
  void applyTarget(const StoreChange &Change, TimeMs Now);
  std::optional<ListedInstance> decodeTarget(const StoreChange &Entry);
  void reportLeftOut();
  void publishIntent();
  void publishOwnTarget();

  OwnTarget LocalTarget;
  const StoreLoopHooks &Hooks;
  DecodeTargetHook DecodeTarget;
  std::uint64_t Revision = 0;
  /// Revisions at which the targets and the intent were last read as a whole.
  std::uint64_t TargetsReadAt = 0;
  std::uint64_t IntentReadAt = 0; ///< 0 until the intent has been read.
  StoreBundle Intent;
  /// Whether the newest configuration could not be read; an older one is used.
  bool ConfigurationUnread = false;
  std::size_t LeftOut = 0; ///< Items left out and not yet reported.
  bool IntentChanged = false;
  std::uint64_t IntentRevision = 0;
  TargetList Targets;
  std::optional<std::optional<ListedInstance>> ReportedTarget;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STOREVIEW_H
