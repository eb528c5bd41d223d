/// \file
/// What one slot may meter while versions change.
///
/// A new version may move shares between slots, and for a while, or for as
/// long as a domain is cut off, some slots still meter by an older one. A slot
/// therefore uses the smallest of its shares over all versions since the last
/// that every declared slot is known to have had in force, its agreed version.
///
/// Why the sum stays inside the rate: let V be the newest of all slots' agreed
/// versions. Every slot had V in force, and has kept it in its history because
/// its own agreed version is not newer. So every slot uses at most its share
/// under V, and those sum to the rate. Agreement counts only after the fence,
/// when every lease granted before it is over. A restarted slot has no agreed
/// version and meters nothing until it has one; nor has a vacant slot, in which
/// no process runs or only one that will notice that it was paused for long.

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

/// The division that a slot has in force. All declared slots agree with it when
/// each is known to have had a version of its run in force, or to be vacant.
struct DivisionRun {
  std::uint64_t Division = 0; ///< ShareTable::digest.
  Version Current;            ///< In force at the slot.
  Version Since;              ///< First of the unbroken run of this division.
};

/// The versions of one slot that may still count.
class ShareHistory {
public:
  /// Most divisions remembered; the oldest are merged beyond.
  static constexpr std::size_t MaxDivisions = 32;

  /// \param Fence time from agreement until older versions cease to count.
  explicit ShareHistory(DurationMs Fence) : Fence(Fence) {}

  /// A version has come into force here. One not newer than the last is
  /// ignored.
  void add(const Version &Id, std::uint64_t Division, SlotShares Shares);

  /// Tells that all declared slots agree with \ref mark.
  void agree(TimeMs Now);

  /// Agreements whose fence is not over do not count, after a pause.
  void dropPending();

  /// There is no agreed version any more, after a long pause.
  void dropAgreement();

  /// Forgets versions before an agreement older than the fence. Returns true
  /// when shares may have changed.
  bool update(TimeMs Now);

  /// The share that may be used; zero without an agreed version.
  TokenShare share(std::string_view Organisation) const;

  /// The organisations that any remembered version gives a share.
  SlotShares shares() const;

  /// Own mark, or nothing before the first version.
  std::optional<DivisionRun> mark() const;

  /// The mark of the agreed version, if there is one.
  std::optional<DivisionRun> agreedMark() const;

  bool agreed() const { return HasAgreed; }

private:
  struct Entry {
    DivisionRun Mark;
    SlotShares Shares;
    std::optional<TimeMs> AgreedAt;
  };

  void mergeOldest();

  DurationMs Fence;
  std::deque<Entry> Entries;
  bool HasAgreed = false;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SHAREHISTORY_H
