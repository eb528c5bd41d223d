/// \file
/// List of the targets in a store, which survives outages of the store.
///
/// The owner reports each entry that it reads, each call that failed or was
/// answered, and when the store becomes unreachable. Entries expire in the
/// store during an outage although their targets are alive, and targets write
/// them again soon after it. An entry that is removed during an outage is
/// therefore retained until the targets have had time to do so; at any other
/// time, a removed entry means that the target is gone. A node cannot tell
/// whether the store was out or only rejected this node, so a retained row is
/// an assumption and bears its end (ListedInstance::AssumedUntil).

#ifndef FESCUEWOOD_POLICY_TARGETLIST_H
#define FESCUEWOOD_POLICY_TARGETLIST_H

#include "core/Clock.h"
#include "policy/ListedInstance.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Time from the last failed call of an outage for which a removed entry is
/// retained. Targets write their entries again within about 2 s of the store's
/// return, which may come after that call. 3 s after its return, a node must
/// know which targets are gone.
inline constexpr DurationMs RetentionTime{2950};

/// Time without an answer of the store from which entries of live targets may
/// have expired: that takes several missed writes.
inline constexpr DurationMs MinLapseTime{2000};

/// Retention after the first answer of a restored store: targets write their
/// entries again within about 2 s.
inline constexpr DurationMs RewriteTime{2500};

/// Time for which an entry of the copy is not used if its target left after the
/// copy was taken. The store removes the entry of a target that is gone after
/// three missed writes.
inline constexpr DurationMs CopyHoldTime{6000};

/// Time for which removed targets are remembered; a copy is some seconds old.
inline constexpr DurationMs RemovalMemory{60 * 1000};

/// Longest time between the starts of two calls while the store is
/// unreachable: how precisely the time of its return is known.
inline constexpr DurationMs MaxRetryPeriod{950};

/// Listed targets by id. Not thread-safe.
class TargetList {
public:
  /// Adds or updates the entry of a target.
  void put(ListedInstance Entry);

  /// Handles the removal of a target's entry, or an entry that can no longer be
  /// read.
  void remove(std::string_view Id, TimeMs Now);

  /// Applies a full listing; entries that are missing from it are removed.
  void replaceAll(std::vector<ListedInstance> Entries, TimeMs Now);

  /// A call that was sent at \p SentAt has failed.
  void onCallFailed(TimeMs SentAt) { LastFailedAt = SentAt; }

  /// The store has answered a call that was sent at \p SentAt.
  void onCallAnswered(TimeMs SentAt, TimeMs Now);

  /// Another node has relayed what the store answered to a call of \p ProvenAt.
  void onRelayed(TimeMs ProvenAt, TimeMs Now);

  /// The store has come back from an older copy, with the answer of \p Revision
  /// that is applied next. What it lacks may be written again, and what it
  /// lists as live may have left since.
  void onStoreRestored(std::uint64_t Revision, TimeMs Now);

  /// The store has become unreachable; it is until the next answer.
  void onStoreLost(TimeMs Now);

  /// Drops retained entries once the retention time has passed, and takes the
  /// entries of a copy that were held back.
  void expire(TimeMs Now);

  /// Time of the next expiry; Never if there is none.
  TimeMs nextExpiry() const;

  /// One row per instance. An entry that exists takes precedence over a
  /// retained one, then the later start of a target over the earlier, a live
  /// target over one that is leaving, and otherwise the greater revision over
  /// the smaller.
  InstanceList list(std::uint64_t Revision) const;

  /// Returns the target of \p Service at an address, if any.
  std::optional<ListedInstance> find(std::string_view Address,
                                     std::string_view Service) const;

  /// Whether the list has changed since the last call.
  bool takeChanged();

private:
  /// A target whose entry was removed.
  struct RemovedTarget {
    std::uint64_t StartedAtMs = 0;
    TimeMs At;
  };

  bool isHeldBack(const ListedInstance &Entry) const;
  void onRemoved(const ListedInstance &Entry, TimeMs Now);
  void releaseHeldBack();
  void setRetention(TimeMs End);
  void removeOrRetain(const std::string &Id, TimeMs Now);

  std::map<std::string, ListedInstance, std::less<>> Entries;
  TimeMs LastFailedAt{0};
  TimeMs LastAnswerAt{0};
  TimeMs RetainUntil{0};   ///< Never during an outage.
  TimeMs EndBeforeLoss{0}; ///< RetainUntil before the current outage.
  TimeMs RestoredUntil{0}; ///< Retention after the last restore, at least.
  /// Entries up to this revision are those of the copy, until \ref HoldUntil.
  std::uint64_t CopyRevision = 0;
  TimeMs HoldUntil{0};
  /// Entries of the copy that name targets which left after it was taken.
  std::map<std::string, ListedInstance, std::less<>> HeldBack;
  std::map<std::string, RemovedTarget, std::less<>> Removed; ///< By id.
  bool Changed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_TARGETLIST_H
