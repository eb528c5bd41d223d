/// \file
/// History of a slot's shares, which limits the slot while the fleet changes
/// versions.
///
/// A new version may move shares between slots, while other slots still use an
/// older one; behind a partition for as long as it lasts. A slot therefore uses
/// the minimum of its shares over all versions since its agreed version: the
/// newest version that every declared slot is known to have activated.
///
/// The shares in use never exceed the rate: let V be the newest agreed version
/// of all slots. Every slot has activated V and still has it in its history,
/// because its own agreed version is not newer. So every slot uses at most its
/// share under V, and these sum to the rate. An agreement takes effect only
/// after the fencing period, when every lease granted before it has expired. A
/// restarted slot has no agreed version and no share until the next agreement.
/// The same holds for a vacant slot, which has no process or only one that will
/// detect that it was paused for long.

#ifndef FESCUEWOOD_POLICY_SHAREHISTORY_H
#define FESCUEWOOD_POLICY_SHAREHISTORY_H

#include "core/Clock.h"
#include "intent/Snapshot.h"
#include "policy/ShareTable.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>

namespace fescuewood {

/// The run that is active at a slot: consecutive versions with the same
/// division of rates. All declared slots agree with it if each is known to have
/// activated one of its versions, or to be vacant.
struct DivisionRun {
  std::uint64_t Division = 0; ///< ShareTable::digest.
  Version Current;            ///< Active at the slot.
  Version Since;              ///< First version of the run.
};

/// The versions that may still restrict one slot. Not thread-safe.
class ShareHistory {
public:
  /// Maximum stored divisions; beyond it the two oldest are merged into their
  /// minimum.
  static constexpr std::size_t MaxDivisions = 32;

  /// \param Fence time from an agreement until older versions are dropped.
  explicit ShareHistory(DurationMs Fence) : Fence(Fence) {}

  /// Adds a version that was activated here. Ignored unless newer than the last
  /// one.
  void add(const Version &Id, std::uint64_t Division, SlotShares Shares);

  /// Records that all declared slots agree with \ref currentRun.
  void onAgreement(TimeMs Now);

  /// Drops agreements whose fencing period is not over, after a process pause.
  void dropPendingAgreements();

  /// Drops all agreements, after a long process pause.
  void dropAgreements();

  /// Puts agreements into effect whose fencing period is over, and drops older
  /// versions. Returns whether shares may have changed.
  bool update(TimeMs Now);

  /// The usable share; zero without an agreed version.
  TokenShare share(std::string_view Organisation) const;

  /// The usable shares of all organisations in the newest version.
  SlotShares shares() const;

  /// The newest run; std::nullopt before the first version.
  std::optional<DivisionRun> currentRun() const;

  /// The run of the agreed version, if there is one.
  std::optional<DivisionRun> agreedRun() const;

  /// Whether there is an agreed version.
  bool hasAgreedVersion() const { return HasAgreedVersion; }

private:
  struct Entry {
    DivisionRun Run;
    SlotShares Shares;
    std::optional<TimeMs> AgreedAt;
  };

  void mergeOldest();

  DurationMs Fence;
  std::deque<Entry> Entries;
  bool HasAgreedVersion = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SHAREHISTORY_H
