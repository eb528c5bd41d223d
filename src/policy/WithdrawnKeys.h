/// \file
/// Keys that a configuration no longer holds, so that calls which were admitted
/// with one and still wait can be stopped.
///
/// A key that was never seen here is not withdrawn: this node may simply hold
/// an older configuration than the node where the call entered.

#ifndef FESCUEWOOD_POLICY_WITHDRAWNKEYS_H
#define FESCUEWOOD_POLICY_WITHDRAWNKEYS_H

#include "intent/Snapshot.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <set>

namespace fescuewood {

/// Withdrawn keys that are remembered; the oldest go first.
inline constexpr std::size_t MaxWithdrawnKeys = 4096;

/// Follows the keys of successive configurations. Not thread-safe.
class WithdrawnKeys {
public:
  /// Takes the next configuration; returns whether a key was withdrawn.
  bool update(const Snapshot &Config);

  /// Whether the key of this mark (\ref keyMark) was withdrawn.
  bool contains(std::uint64_t Mark) const { return Withdrawn.contains(Mark); }

private:
  std::set<std::uint64_t> Present;
  std::set<std::uint64_t> Withdrawn;
  std::deque<std::uint64_t> Order; ///< Of withdrawal, oldest first.
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_WITHDRAWNKEYS_H
