/// \file
/// The nodes of a fleet as one of them has observed them recently.
///
/// A node that is no longer listed may be behind a partition and keep admitting
/// requests, so its part of a rate is not given to another at once; nor that of
/// a node whose target alone leaves. A draining node is replaced by another,
/// and is left out at once.

#ifndef FESCUEWOOD_POLICY_OBSERVEDNODES_H
#define FESCUEWOOD_POLICY_OBSERVEDNODES_H

#include "core/Clock.h"
#include "policy/Instance.h"

#include <cstddef>
#include <deque>
#include <map>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuewood {

/// Not thread-safe.
class ObservedNodes {
public:
  /// Replaces the list of instances. Returns whether \ref names has changed.
  bool set(std::span<const Instance> Instances, TimeMs Now);

  /// Forgets nodes that left the list long ago. Returns whether \ref names has
  /// changed.
  bool forgetDeparted(TimeMs Now);

  /// Largest number of nodes in a recent list; at least 1.
  std::size_t count(TimeMs Now);

  /// As \ref count, as of its last call.
  std::size_t lastCount() const;

  /// Nodes in a recent list. Empty before the first list.
  std::vector<std::string_view> names() const;

private:
  /// Node counts with the time of observation, in decreasing order: a count
  /// replaces earlier ones that are not larger.
  std::deque<std::pair<TimeMs, std::size_t>> Counts;
  /// The time at which each node is forgotten; Never while it is listed.
  std::map<std::string, TimeMs, std::less<>> ForgetAt;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_OBSERVEDNODES_H
