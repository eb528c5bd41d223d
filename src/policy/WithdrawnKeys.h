/// \file
/// Set of the keys that were removed from the configuration, used to cancel
/// queued calls that were admitted with one of them.
///
/// A key that this node has never seen does not count as withdrawn, because the
/// entry node of the call may have a newer configuration.

#ifndef FESCUEWOOD_POLICY_WITHDRAWNKEYS_H
#define FESCUEWOOD_POLICY_WITHDRAWNKEYS_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

namespace fescuewood {

/// Largest number of withdrawn keys stored; the oldest are dropped first.
inline constexpr std::size_t MaxWithdrawnKeys = 4096;

/// Tracks the keys of successive configurations. Not thread-safe.
class WithdrawnKeys {
public:
  /// Applies the next configuration; returns whether it withdraws a key.
  bool update(const Snapshot &Config);

  /// Whether the key with this prefix (\ref keyDigestPrefix) was withdrawn.
  bool contains(std::uint64_t Prefix) const {
    return Withdrawn.contains(Prefix);
  }

private:
  std::set<std::uint64_t> Current;
  std::set<std::uint64_t> Withdrawn;
  std::deque<std::uint64_t> WithdrawalOrder; ///< Withdrawn keys, oldest first.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_WITHDRAWNKEYS_H
