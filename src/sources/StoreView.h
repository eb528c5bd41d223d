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

  /// Number of a configuration, as in StoreCalls::ConfigurationNumber.
  using NumberHook = std::function<std::uint64_t(std::string_view Value)>;

  /// \param Hooks must outlive the view.
  StoreView(OwnTarget LocalTarget, const StoreLoopHooks &Hooks,
            DecodeTargetHook DecodeTarget, NumberHook ConfigurationNumber);

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
  void onIntentRead(const StorePage &Range, TimeMs Now);

  /// Requires the intent to be read as a whole again.
  void forgetIntent() { IntentReadAt = 0; }

  /// Applies the changes after \ref revision and returns those that are new.
  StoreChanges apply(StoreChanges Read, TimeMs Now);

  /// Applies the items of a whole store.
  void replaceAll(const StoreChanges &Whole, TimeMs Now);

  /// Drops what was assumed for a limited time that has passed.
  void expire(TimeMs Now);

  /// Time of the next effect of \ref expire; Never if there is none.
  TimeMs nextExpiry() const;

  /// Counts items that could not be read.
  void countLeftOut(std::size_t Count) { LeftOut += Count; }

  /// Reports changes to the hooks; changes of targets only once all targets
  /// have been read.
  void publish();

  /// Reports that the intent was current at \p ProvenAt. The intent itself must
  /// have been published before. The copy from which a store was restored
  /// proves nothing until operators have had time to write again what it lacks,
  /// also to a node that starts in these seconds and knows no earlier epoch.
  void reportProof(TimeMs ProvenAt) const;

private:
  bool isNew(const StoreChange &Change) const;
  void applyItem(const StoreChange &Change, TimeMs Now);
  void applyConfiguration(const StoreChange &Change);
  void applyTarget(const StoreChange &Change, TimeMs Now);
  std::optional<ListedInstance> decodeTarget(const StoreChange &Entry);
  void followEpoch(std::uint64_t Read, TimeMs Now);
  void reportLeftOut();
  std::uint64_t bundleRevision() const;
  void publishIntent();
  void publishOwnTarget();

  OwnTarget LocalTarget;
  const StoreLoopHooks &Hooks;
  DecodeTargetHook DecodeTarget;
  NumberHook ConfigurationNumber;
  std::optional<std::uint64_t> Epoch; ///< The newest that has been read.
  TimeMs SettlesAt{0}; ///< Earliest end of the time after the last restore.
  /// Revision of the first answer after a restore.
  std::uint64_t CopyRevision = 0;
  std::uint64_t Revision = 0;
  /// Revisions at which the targets and the intent were last read as a whole.
  std::uint64_t TargetsReadAt = 0;
  std::uint64_t IntentReadAt = 0; ///< 0 until the intent has been read.
  StoreBundle Intent;
  /// Whether the newest configuration could not be read; an older one is used.
  bool ConfigurationUnread = false;
  /// Whether the store holds an older configuration than the intent.
  bool ConfigurationOutdated = false;
  std::uint64_t IntentNumber = 0; ///< Of the configuration.
  std::uint64_t NumberEpoch = 0;  ///< In which it was read.
  /// Domains without work that a restored store has lost, until it settles.
  std::set<std::string, std::less<>> DomainsHeld;
  /// Revision of the intent from which they were dropped; 0 if never.
  std::uint64_t SettledRevision = 0;
  std::size_t LeftOut = 0; ///< Items left out and not yet reported.
  bool IntentChanged = false;
  std::uint64_t IntentRevision = 0;
  TargetList Targets;
  std::optional<std::optional<ListedInstance>> ReportedTarget;
};

} // namespace fescuewood

#endif // FESCUEWOOD_SOURCES_STOREVIEW_H
