/// \file
/// Which declared slot owns which part of an organisation's rate.
///
/// Every node works out the same table from the same snapshot. The slots of a
/// domain are divided into groups; in each group, one slot per organisation,
/// found by rendezvous hashing, is the organisation's meter and owns the
/// group's share. The table depends on what is declared, never on who is
/// believed to live, so views that differ cannot double a share.
///
/// Rendezvous hashing: Thaler and Ravishankar, "Using name-based mappings to
/// increase hit rates", IEEE/ACM Transactions on Networking 6(1), 1998.

#ifndef FESCUEWOOD_POLICY_SHARETABLE_H
#define FESCUEWOOD_POLICY_SHARETABLE_H

#include "intent/Snapshot.h"
#include "policy/TokenSettings.h"

#include <compare>
#include <cstdint>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// A declared node slot. The platform gives it to one instance at a time.
struct SlotId {
  std::string Domain;
  std::uint32_t Slot = 0;

  auto operator<=>(const SlotId &) const = default;
};

/// A part of an organisation's token bucket.
struct TokenShare {
  double PerSecond = 0;
  double Burst = 0;

  bool operator==(const TokenShare &) const = default;
};

/// The smaller of each member.
TokenShare smaller(const TokenShare &Left, const TokenShare &Right);

/// One organisation's share at one slot.
struct MeterShare {
  SlotId Slot;
  TokenShare Share;
};

/// The shares of one slot, by organisation; those without a share are absent.
using SlotShares = std::map<std::string, TokenShare, std::less<>>;

/// The division that one snapshot gives. Immutable.
class ShareTable {
public:
  ShareTable() = default;
  ShareTable(const Snapshot &Source, const TokenSettings &Settings);

  /// All meters of an organisation. Their shares sum to its rate and burst.
  std::span<const MeterShare> meters(std::string_view Organisation) const;

  /// The shares that a slot owns.
  SlotShares sharesOf(const SlotId &Slot) const;

  /// The meters that a slot asks, the nearest first: its own group's, those of
  /// its domain, then the others. The slot itself is left out.
  std::vector<SlotId> askingOrder(std::string_view Organisation,
                                  const SlotId &Asker) const;

  /// Equal for two tables with the same division.
  std::uint64_t digest() const { return TableDigest; }

private:
  struct Group {
    std::string Domain;
    std::uint32_t First = 0;
    std::uint32_t Slots = 0;

    bool holds(const SlotId &Slot) const;
    std::string name() const;
  };
  /// A meter and the group that it serves.
  struct Placement {
    std::size_t Group = 0;
    std::uint32_t Slot = 0;
  };
  struct Division {
    std::vector<MeterShare> Meters;
    std::vector<std::size_t> Groups; ///< Of each meter, same order.
  };

  void addGroups(const Domain &Declared, const TokenSettings &Settings);
  std::vector<Placement> placements(std::string_view Organisation,
                                    std::size_t Count) const;
  std::uint32_t meterOf(std::string_view Organisation, const Group &G) const;
  void divide(const std::string &Organisation, const Rate &Whole,
              const TokenSettings &Settings);

  std::vector<Group> Groups;
  std::map<std::string, Division, std::less<>> Divisions;
  std::uint64_t TableDigest = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SHARETABLE_H
