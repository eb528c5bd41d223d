/// \file
/// The scenario of a soak: size, faults and bounds, read from an INI file.

#ifndef FESCUEWOOD_SOAK_SCENARIO_H
#define FESCUEWOOD_SOAK_SCENARIO_H

#include "core/Clock.h"
#include "ini/Problem.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood::soak {

/// A fault that the driver injects from outside.
enum class FaultKind {
  NodeTerm,
  NodeKill,
  NodeStop,
  NodeHup,
  TargetCrash,
  TargetLeave,
  TargetRepeat,
  TargetFail,
  TargetSilent,
  TargetCut,
  TargetSpoilt,
  TargetRefuse,
  Configuration,
  StoreRefuse,
  StoreSilent,
  StoreReset,
};

/// Name of a fault in scenario files and reports.
std::string_view faultName(FaultKind Kind);

/// All faults, in the order of the enumeration.
const std::vector<FaultKind> &allFaults();

/// Times and shares that the checks use.
struct Bounds {
  DurationMs KeyWithdrawal; ///< From the store's answer until a key is dead.
  DurationMs Departure;     ///< From the store's answer until nothing reaches
                            ///< a leaving target.
  DurationMs Contact;       ///< After a disturbance until bounds hold again.
  DurationMs Recovery;      ///< From the last fault until all is served.
  DurationMs DrainTime;     ///< A drain with time over lasts at least this.
  DurationMs Grace;         ///< From SIGTERM until the process is killed.
  double ServedShare = 0;   ///< Least share served after the recovery.
};

struct Scenario {
  std::size_t Nodes = 0;
  std::size_t CallersPerNode = 0;
  std::vector<FaultKind> Faults;
  DurationMs FaultTime;   ///< Time in which faults begin.
  DurationMs MeanGap;     ///< Mean time between two beginnings.
  DurationMs MinDuration; ///< Of a fault.
  DurationMs MaxDuration;
  DurationMs ServedTime; ///< Time after the recovery that is checked.
  Bounds Limits;
};

/// Reads a scenario. Returns nothing when a problem is reported.
std::optional<Scenario> readScenario(std::string_view Text,
                                     std::string_view FileName,
                                     Problems &ProblemList);

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_SCENARIO_H
