/// \file
/// Gossip record of one member of the fleet, and the order in which records of
/// a member supersede each other.

#ifndef FESCUEWOOD_POLICY_MEMBERRECORD_H
#define FESCUEWOOD_POLICY_MEMBERRECORD_H

#include "policy/Instance.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace fescuewood {

/// Health of a member; the values are sent on the wire. Of two records with the
/// same sequence, the one with the larger value wins.
enum class MemberHealth : std::uint8_t {
  Alive = 0,
  Suspect = 1, ///< Did not answer; declared dead unless it refutes in time.
  Dead = 2,
  Left = 3, ///< Announced that it leaves.
};

/// "alive", "suspect", "dead" or "left".
std::string_view memberHealthName(MemberHealth Health);

/// Ordering key of the records of one member; the larger key is newer.
struct MemberOrder {
  std::uint64_t Incarnation = 0; ///< Of its process; 0 if only listed.
  std::uint32_t Sequence = 0;    ///< Incremented by the member itself.
  MemberHealth Health = MemberHealth::Alive;

  auto operator<=>(const MemberOrder &) const = default;
};

/// Platform's view of a member. The larger list revision wins, so a stale list
/// has no effect.
struct MemberListing {
  std::uint64_t ListRevision = 0; ///< Revision of the list that changed this.
  bool Leaving = false;
  std::uint64_t Incarnation = 0; ///< Latest process that this applies to.

  auto operator<=>(const MemberListing &) const = default;
};

/// Record of one member. Order (with Place) and Listing are merged separately.
struct MemberRecord {
  Instance Place; ///< Written by the member itself once its process runs.
  MemberOrder Order;
  MemberListing Listing; ///< Written by nodes that read the platform.

  bool operator==(const MemberRecord &) const = default;

  /// Whether the platform lists the current process as leaving.
  bool isListedAsLeaving() const {
    return Listing.Leaving && Order.Incarnation <= Listing.Incarnation;
  }

  /// Hash of name, order and listing, which together identify a record.
  std::uint64_t hash() const;
};

/// Copies the newer parts of \p Other into \p Known; both must have the same
/// name. Returns whether \p Known changed. The merge is commutative and
/// idempotent.
bool mergeRecord(MemberRecord &Known, const MemberRecord &Other);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMBERRECORD_H
