/// \file
/// Figures of one run of the rate benchmark.

#ifndef FESCUEWOOD_BENCH_RATEFIGURES_H
#define FESCUEWOOD_BENCH_RATEFIGURES_H

#include "support/TokenFleet.h"

#include <algorithm>
#include <cstdint>
#include <string>
#include <vector>

namespace fescuewood::bench {

/// Sums over the organisations of one run.
struct Figures {
  std::uint64_t Arrived = 0;
  std::uint64_t IdealAdmitted = 0;
  std::uint64_t Admitted = 0;
  std::uint64_t WrongRefusals = 0;
  std::uint64_t Waited = 0;
  std::uint64_t WaitedMicros = 0;
  double Overshoot = 0;
  double Bytes = 0;
  double MaxBytes = 0;
  double Messages = 0;
  std::vector<std::string> Rows;

  void add(const FleetRecord &R) {
    Arrived += R.Arrived;
    IdealAdmitted += R.IdealAdmitted;
    Admitted += R.Admitted;
    WrongRefusals += R.WrongRefusals;
    Waited += R.Waited;
    WaitedMicros += R.WaitedMicros;
    Overshoot = std::max(Overshoot, R.Admissions.overshoot());
  }
};

inline double percent(std::uint64_t Part, std::uint64_t Whole) {
  return Whole == 0
             ? 0
             : 100 * static_cast<double>(Part) / static_cast<double>(Whole);
}

/// Requests that the ideal bucket admits beyond those that the fleet admitted,
/// in percent of all.
inline double shortfall(std::uint64_t Ideal, std::uint64_t Admitted,
                        std::uint64_t Arrived) {
  return Ideal > Admitted ? percent(Ideal - Admitted, Arrived) : 0;
}

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_RATEFIGURES_H
