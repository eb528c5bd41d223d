/// \file
/// Rollout progress of a version: the declared node slots that are known to
/// have had it in force.
///
/// Nodes with the same version in force exchange one bit per declared slot
/// (\ref VersionSpread::bits) and merge the received bits, so each node learns
/// the progress within a few rounds. The index of a bit follows from the list
/// of domains in the version itself, which all these nodes share. The progress
/// of older versions is kept as a lower bound.
///
/// A set bit applies to a slot, not to a process: a process restarted in the
/// slot while cut off from all its peers may have an older version.
///
/// A second bit per slot records that a node of the slot's own failure domain
/// reported it as vacant (\ref VersionSpread::markVacant).

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

/// Slot declared for a node in a failure domain.
struct NodeSlot {
  std::string Domain;
  std::uint32_t Slot = 0;

  auto operator<=>(const NodeSlot &) const = default;
};

/// Rollout progress as one node sees it. Not thread-safe.
class VersionSpread {
public:
  /// Switches to a larger version, whose domains declare the slots.
  void setVersion(const Snapshot &InForce);

  /// Records that a slot has the current version in force. Undeclared slots are
  /// ignored.
  void markApplied(std::string_view Domain, std::uint32_t Slot);

  /// Records that no process that could act on an older version runs in the
  /// slot.
  void markVacant(std::string_view Domain, std::uint32_t Slot);

  /// Declared slots of a domain known neither to have the version in force nor
  /// to be vacant.
  std::vector<std::uint32_t> undecidedSlots(std::string_view Domain) const;

  /// Discards all recorded progress, for example after a pause.
  void reset();

  /// Merges the bits sent by another node with the current version. Returns
  /// false when their size differs.
  bool merge(std::string_view Bits);

  /// One bit per declared slot, ordered by domain and slot, followed by the
  /// vacancy bits in the same order.
  const std::string &bits() const { return Bits; }

  /// Digest of \ref bits, for comparison with other nodes.
  std::uint32_t digest() const;

  /// Lower bound of the version that the slot had in force, if any is known.
  std::optional<Version> slotVersion(std::string_view Domain,
                                     std::uint32_t Slot) const;

  /// Whether every declared slot had \p Wanted or a newer version in force, or
  /// was reported as vacant. False when no slot is declared.
  bool hasReachedAllSlots(const Version &Wanted) const;

  /// Number of declared slots.
  std::size_t declared() const { return Slots.size(); }

private:
  /// Index of a slot in Slots; std::nullopt if it is not declared.
  std::optional<std::size_t> indexOf(std::string_view Domain,
                                     std::uint32_t Slot) const;
  std::size_t vacancyBit(std::size_t Index) const;
  bool isSet(std::size_t Bit) const;
  void set(std::size_t Bit);

  Version Current;
  std::vector<NodeSlot> Slots; ///< Sorted; the index is also that of the bit.
  std::string Bits;
  std::map<NodeSlot, Version> EarlierVersions; ///< Progress of older versions.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_VERSIONSPREAD_H
