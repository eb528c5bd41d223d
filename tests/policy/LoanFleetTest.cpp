#include "support/LoanFleet.h"

#include <CppUTest/TestHarness.h>

using namespace fescuewood;

namespace {

constexpr RateBound Bound{DurationMs(5000), 0.25, 20};

/// Ratio of each organisation's rate to its mean demand.
constexpr double RateRatio = 1.6;

/// \p Count organisations, a few of them large, with 9 requests per second each
/// on average.
void addOrganisations(LoanFleet &Fleet, std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    const double Demand = std::max(2.4, 90.0 / static_cast<double>(I + 1));
    Fleet.addOrganisation(Demand, RateRatio * Demand, Demand);
  }
}

/// Share of the requests refused when every organisation uses 1/1.6 of its
/// rate.
double refusedBelowTheRate(std::size_t Nodes, std::size_t Domains,
                           std::size_t Organisations) {
  LoanFleet Fleet(Nodes, Domains, Bound, 1);
  addOrganisations(Fleet, Organisations);
  Fleet.startAll();
  Fleet.run(DurationMs(10'000));
  Fleet.ask(DurationMs(20'000));
  Fleet.run(DurationMs(21'000));
  return Fleet.refusedShare();
}

} // namespace

TEST_GROUP(LoanFleet){};

TEST(LoanFleet, RefusesLessThanOneInAHundredBelowTheRate) {
  CHECK_COMPARE(refusedBelowTheRate(64, 5, 74), <, 0.01);
  CHECK_COMPARE(refusedBelowTheRate(85, 3, 85), <, 0.01);
}
