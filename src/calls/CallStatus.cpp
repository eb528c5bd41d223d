#include "calls/CallStatus.h"

#include <algorithm>

namespace fescuewood {

void LatencyHistogram::add(DurationMs Span) {
  const auto Bucket =
      std::lower_bound(BoundsMs.begin(), BoundsMs.end(), Span.Value);
  ++Counts.at(static_cast<std::size_t>(Bucket - BoundsMs.begin()));
  SumMs += static_cast<std::uint64_t>(std::max<std::int64_t>(0, Span.Value));
}

} // namespace fescuewood
