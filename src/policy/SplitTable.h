/// \file
/// Divides the requests of a split route among its services by weight.
///
/// The n-th request of a route takes the n-th point of a sequence that fills
/// the interval from 0 to 1 evenly (multiples of the golden ratio), so the
/// shares are met closely also over few requests, and each node begins at a
/// point of its own.

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
  /// \param Seed decides where each route's sequence begins.
  SplitTable(const Snapshot &Config, std::uint64_t Seed);

  /// The service for the next request of a route. The route must be one of the
  /// configuration; one that is not split has a single service.
  const std::string &pick(const Route &Matched) const;

private:
  using Counter = std::atomic<std::uint64_t>;

  /// By route; behind pointers, since counters do not move.
  std::map<std::string, std::unique_ptr<Counter>, std::less<>> Counters;
};

/// The service whose part of the whole weight holds \p Point, from 0 up to but
/// not including 1.
const std::string &splitAt(const Route &Split, double Point);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_SPLITTABLE_H
