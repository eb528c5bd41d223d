/// \file
/// Table that assigns parts of each organisation's rate to declared slots.
///
/// Every node computes the same table from the same snapshot. The slots of a
/// failure domain are divided into groups. In each group, rendezvous hashing
/// selects one slot per organisation as its meter, which owns the group's
/// share. The table depends only on declared slots, not on which nodes appear
/// to be alive, so differing views of membership cannot assign a share twice.
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

/// A declared node slot. The platform assigns it to one instance at a time.
struct SlotId {
  std::string Domain;
  std::uint32_t Slot = 0;

  auto operator<=>(const SlotId &) const = default;
};

/// A part of an organisation's rate and burst.
struct TokenShare {
  double PerSecond = 0;
  double Burst = 0;

  bool operator==(const TokenShare &) const = default;
};

/// Member-wise minimum.
TokenShare memberwiseMin(const TokenShare &Left, const TokenShare &Right);

/// One organisation's share at one slot.
struct MeterShare {
  SlotId Slot;
  TokenShare Share;
};

/// Shares of one slot by organisation; organisations without one are absent.
using SlotShares = std::map<std::string, TokenShare, std::less<>>;

/// The division of rates under one snapshot. Immutable.
class ShareTable {
public:
  ShareTable() = default;
  ShareTable(const Snapshot &Source, const TokenSettings &Settings);

  /// All meters of an organisation. Their shares sum to its rate and burst.
  std::span<const MeterShare> meters(std::string_view Organisation) const;

  /// The shares of one slot.
  SlotShares sharesOf(const SlotId &Slot) const;

  /// The meters from which a slot requests leases, in order of preference: that
  /// of its own group, those of its failure domain, then all others. Excludes
  /// the slot itself.
  std::vector<SlotId> requestOrder(std::string_view Organisation,
                                   const SlotId &Requester) const;

  /// Hash of the division; equal for tables with the same division.
  std::uint64_t digest() const { return TableDigest; }

private:
  struct Group {
    std::string Domain;
    std::uint32_t First = 0;
    std::uint32_t Slots = 0;

    bool contains(const SlotId &Slot) const;
    std::string name() const;
  };
  /// A meter and its group.
  struct Placement {
    std::size_t Group = 0;
    std::uint32_t Slot = 0;
  };
  struct Division {
    std::vector<MeterShare> Meters;
    std::vector<std::size_t> Groups; ///< Group of each meter, same order.
  };

  void addGroups(const Domain &Declared, const TokenSettings &Settings);
  std::vector<Placement> placements(std::string_view Organisation,
                                    std::size_t Count) const;
  std::uint32_t meterOf(std::string_view Organisation, const Group &G) const;
  void divide(const std::string &Organisation, const Rate &FleetRate,
              const TokenSettings &Settings);

  std::vector<Group> Groups;
  std::map<std::string, Division, std::less<>> Divisions;
  std::uint64_t TableDigest = 0;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SHARETABLE_H
