/// \file
/// What the nodes tell each other about one member of the fleet, and which of
/// two such records is the newer one.

#ifndef FESCUEWOOD_POLICY_MEMBERRECORD_H
#define FESCUEWOOD_POLICY_MEMBERRECORD_H

#include "policy/Instance.h"

#include <compare>
#include <cstdint>
#include <string_view>

namespace fescuewood {

/// Whether a member of the fleet is thought to run; numbers are on the wire.
/// A later one overrides an earlier one of the same sequence.
enum class MemberHealth : std::uint8_t {
  Alive = 0,
  Suspect = 1, ///< Did not answer; dead unless it refutes this in time.
  Dead = 2,
  Left = 3, ///< Said that it leaves.
};

/// "alive", "suspect", "dead" or "left".
std::string_view memberHealthName(MemberHealth Health);

/// Orders the records of one member.
struct MemberOrder {
  std::uint64_t Incarnation = 0; ///< Of its process; 0 when only listed.
  std::uint32_t Sequence = 0;    ///< Raised by the member at each change.
  MemberHealth Health = MemberHealth::Alive;

  auto operator<=>(const MemberOrder &) const = default;
};

/// What the platform's list says of a member. The list's larger revision wins,
/// so that a stale list changes nothing.
struct MemberListing {
  std::uint64_t ListRevision = 0; ///< Of the list in which this changed.
  bool Leaving = false;
  std::uint64_t Incarnation = 0; ///< Processes up to this one are meant.

  auto operator<=>(const MemberListing &) const = default;
};

/// One member. Its two parts are merged on their own.
struct MemberRecord {
  Instance Place; ///< Written by the member itself once its process runs.
  MemberOrder Order;
  MemberListing Listing; ///< Written by the readers of the platform.

  bool operator==(const MemberRecord &) const = default;

  /// Whether the platform says that this very process leaves.
  bool isListedAsLeaving() const {
    return Listing.Leaving && Order.Incarnation <= Listing.Incarnation;
  }

  /// A number that differs between different records of a member.
  std::uint64_t hash() const;
};

/// Takes the newer parts of \p Other into \p Known; both are of one name.
/// Returns whether \p Known has changed. The result does not depend on the
/// order or number of merges.
bool mergeRecord(MemberRecord &Known, const MemberRecord &Other);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_MEMBERRECORD_H
