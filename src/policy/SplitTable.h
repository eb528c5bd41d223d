/// \file
/// Weighted split of a route's requests among its services.
///
/// The n-th request of a route uses the n-th element of a low-discrepancy
/// sequence in [0, 1) (multiples of the golden ratio), so that the shares are
/// accurate even over few requests. Each node starts at a different point for
/// each version, so that the shares of a fleet are accurate even when each of
/// its nodes gets only a few requests.

#ifndef FESCUEWOOD_POLICY_SPLITTABLE_H
#define FESCUEWOOD_POLICY_SPLITTABLE_H

#include "intent/Snapshot.h"

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>

namespace fescuewood {

/// The split routes of one configuration. \ref pick is thread-safe.
class SplitTable {
public:
  /// \param Seed determines where the sequence of each route starts.
  SplitTable(const Snapshot &Config, std::uint64_t Seed);

  /// Returns the service for the next request of a route, which must be part of
  /// the configuration. A route that is not split has a single service.
  const std::string &pick(const Route &Matched) const;

private:
  using Counter = std::atomic<std::uint64_t>;

  /// By route name; in pointers because atomics cannot be moved.
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> Counters;
};

/// Returns the service whose share of the total weight contains \p Point, which
/// is in [0, 1).
const std::string &serviceAt(const Route &Split, double Point);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SPLITTABLE_H
