#include "policy/OvertakeMean.h"

#include <algorithm>
#include <cmath>

namespace fescuewood {

namespace {

/// Half-life of the mean; a burst is over within a few half-lives.
constexpr double HalfLifeMs = 1000;

/// Factor on the overtakes of a request that left its group unserved. It would
/// have been overtaken more often before being served, by an unknown number.
constexpr double UnservedFactor = 2;

} // namespace

double OvertakeMean::mean(TimeMs Now) const {
  const double Age = static_cast<double>((Now - UpdatedAt).Value);
  return Mean * std::exp2(-Age / HalfLifeMs);
}

double OvertakeMean::expected(TimeMs Now) const {
  const double Recent = mean(Now);
  return std::max(Recent, (Recent + HeadOvertakes) / 2);
}

void OvertakeMean::onServed(TimeMs Now) {
  Mean = (mean(Now) + HeadOvertakes) / 2;
  HeadOvertakes = 0;
  UpdatedAt = Now;
}

void OvertakeMean::onUnserved(std::size_t Size, TimeMs Now) {
  Mean = std::max(mean(Now), UnservedFactor * HeadOvertakes);
  UpdatedAt = Now;
  if (Size == 0)
    HeadOvertakes = 0;
}

void OvertakeMean::reset() {
  HeadOvertakes = 0;
  Mean = 0;
}

} // namespace fescuewood
