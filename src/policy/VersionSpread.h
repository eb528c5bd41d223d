/// \file
/// Which declared node slots are known to have had a version in force.
///
/// Nodes that hold the same version exchange one bit for each declared slot
/// (\ref VersionSpread::bits) and merge what they get, so that each learns in a
/// few rounds how far the version has come. The meaning of a bit follows from
/// the version's own list of domains, which all its holders share. What was
/// known of older versions is kept as a lower bound.
///
/// A set bit speaks of a slot, not of a process: a process that was started
/// anew in the slot, cut off from all its peers, may hold an older version.
///
/// A second bit says of a slot that a node of its own failure domain vouches
/// for its vacancy (\ref VersionSpread::markVacant).

#ifndef FESCUEWOOD_POLICY_VERSIONSPREAD_H
#define FESCUEWOOD_POLICY_VERSIONSPREAD_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// A declared place for a node.
struct NodeSlot {
  std::string Domain;
  std::uint32_t Slot = 0;

  auto operator<=>(const NodeSlot &) const = default;
};

/// The knowledge of one node. Not thread-safe.
class VersionSpread {
public:
  /// A larger version is in force here; its domains declare the slots.
  void setVersion(const Snapshot &InForce);

  /// The slot has the present version in force. Undeclared slots are ignored.
  void mark(std::string_view Domain, std::uint32_t Slot);

  /// No process that could go on by an older version runs in the slot.
  void markVacant(std::string_view Domain, std::uint32_t Slot);

  /// The declared slots of a domain of which neither is known.
  std::vector<std::uint32_t> undecidedSlots(std::string_view Domain) const;

  /// Drops all that is known of the slots, as after a pause.
  void forget();

  /// Takes the bits that another holder of the present version has sent.
  /// Returns false when they do not fit.
  bool merge(std::string_view Bits);

  /// One bit for each declared slot, in the order of domain and slot, then
  /// the bits of vacancy in the same order.
  const std::string &bits() const { return Bits; }

  /// Changes with \ref bits; for comparison with another holder.
  std::uint32_t digest() const;

  /// A version that the slot had in force, at least.
  std::optional<Version> slotVersion(std::string_view Domain,
                                     std::uint32_t Slot) const;

  /// Whether every declared slot is known to have had \p Wanted or a newer one,
  /// or is vouched to be vacant.
  bool hasReachedAllSlots(const Version &Wanted) const;

  std::size_t declared() const { return Slots.size(); }

private:
  /// The index of a declared slot, or nothing.
  std::optional<std::size_t> indexOf(std::string_view Domain,
                                     std::uint32_t Slot) const;
  std::size_t vacancyBit(std::size_t Index) const;
  bool isSet(std::size_t Bit) const;
  void set(std::size_t Bit);

  Version Present;
  std::vector<NodeSlot> Slots; ///< Sorted; a bit's index is the place here.
  std::string Bits;
  std::map<NodeSlot, Version> Earlier; ///< Known of versions before Present.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_VERSIONSPREAD_H
