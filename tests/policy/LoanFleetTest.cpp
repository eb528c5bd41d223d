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

/// Causes a random fault at one node or at several at once.
void disturb(LoanFleet &Fleet) {
  constexpr DurationMs ListLag{2000};
  const std::size_t Nodes = Fleet.pick(2) == 0 ? 1 : Fleet.size() / 5;
  const std::size_t Domain = Fleet.pick(Fleet.domains());
  const DurationMs Span(static_cast<std::int64_t>(500 + Fleet.pick(6000)));
  switch (Fleet.pick(6)) {
  case 0:
    for (std::size_t I = 0; I < Nodes; ++I)
      Fleet.start(Fleet.pick(Fleet.size()));
    return;
  case 1:
    return Fleet.stop(Fleet.pick(Fleet.size()));
  case 2:
    for (std::size_t I = 0; I < Nodes; ++I)
      Fleet.pause(Fleet.pick(Fleet.size()), Fleet.now() + Span);
    return;
  case 3:
    Fleet.setCut(Domain, true);
    return Fleet.at(Fleet.now() + Span,
                    [&Fleet, Domain] { Fleet.setCut(Domain, false); });
  case 4:
    Fleet.join(ListLag);
    return;
  default:
    return Fleet.unlist(Fleet.pick(Fleet.size()), ListLag);
  }
}

/// Largest use of a bound at three times the rate, with faults of all kinds.
double useWithFaults(std::size_t Nodes, std::size_t Domains,
                     std::size_t Organisations, std::uint32_t Seed,
                     double NotRun = 0) {
  constexpr DurationMs FaultPeriod{700};
  LoanFleet Fleet(Nodes, Domains, Bound, Seed);
  addOrganisations(Fleet, Organisations);
  Fleet.startAll();
  Fleet.run(DurationMs(10'000));
  Fleet.setNotRun(NotRun, DurationMs(2000));
  Fleet.ask(DurationMs(14'000), 3 * RateRatio);
  for (int I = 0; I < 20; ++I) {
    disturb(Fleet);
    Fleet.run(FaultPeriod);
  }
  return Fleet.largestUse();
}

void startWithOrganisations(LoanFleet &Fleet, std::size_t Count) {
  addOrganisations(Fleet, Count);
  Fleet.startAll();
  Fleet.run(DurationMs(10'000));
}

} // namespace

TEST_GROUP(LoanFleet){};

TEST(LoanFleet, RefusesLessThanOneInAHundredBelowTheRate) {
  CHECK_COMPARE(refusedBelowTheRate(64, 5, 74), <, 0.01);
  CHECK_COMPARE(refusedBelowTheRate(85, 3, 85), <, 0.01);
}

TEST(LoanFleet, AsksOtherDomainsWhenAllRequestsEnterAtOne) {
  LoanFleet Fleet(64, 5, Bound, 1);
  startWithOrganisations(Fleet, 74);
  Fleet.enterOnlyAt(0);
  Fleet.ask(DurationMs(20'000));
  Fleet.run(DurationMs(21'000));

  CHECK_COMPARE(Fleet.refusedShare(), <, 0.01);
}

TEST(LoanFleet, ServesOnWhenAFifthOfTheNodesDies) {
  LoanFleet Fleet(64, 5, Bound, 1);
  startWithOrganisations(Fleet, 74);
  for (std::size_t I = 0; I < Fleet.size(); I += 5)
    Fleet.stop(I);
  Fleet.ask(DurationMs(20'000));
  Fleet.run(DurationMs(21'000));

  CHECK_COMPARE(Fleet.refusedShare(), <, 0.03);
}

TEST(LoanFleet, AsksFewLendersWhenAllAreEmpty) {
  LoanFleet Fleet(64, 5, Bound, 1);
  startWithOrganisations(Fleet, 74);
  Fleet.ask(DurationMs(20'000), 3 * RateRatio);
  Fleet.run(DurationMs(21'000));

  CHECK_COMPARE(Fleet.messagesPerRequest(), <, 3.0);
}

TEST(LoanFleet, ExceedsNoBoundInAnyWindowWithFaults) {
  for (std::uint32_t Seed = 1; Seed <= 2; ++Seed) {
    CHECK_COMPARE(useWithFaults(64, 5, 74, Seed), <=, 1.0);
    CHECK_COMPARE(useWithFaults(85, 3, 85, Seed), <=, 1.0);
  }
}

TEST(LoanFleet, ExceedsNoBoundWithFaultsWhenHalfOfTheTokensAreGivenBack) {
  for (std::uint32_t Seed = 1; Seed <= 2; ++Seed) {
    CHECK_COMPARE(useWithFaults(64, 5, 74, Seed, 0.5), <=, 1.0);
    CHECK_COMPARE(useWithFaults(13, 3, 8, Seed, 0.5), <=, 1.0);
  }
}

// Four requests in five find no target and are refused at once; what is left is
// half of the rate.
TEST(LoanFleet, RequestsThatDoNotRunLeaveTheRateToOthers) {
  LoanFleet Fleet(13, 3, Bound, 1);
  startWithOrganisations(Fleet, 8);
  Fleet.setNotRun(0.8, DurationMs(0));
  Fleet.ask(DurationMs(20'000), 2.5 * RateRatio);
  Fleet.run(DurationMs(21'000));

  CHECK_COMPARE(Fleet.refusedShare(), <, 0.01);
}
