/// \file
/// Load of a scenario: every organisation calls the read, write and wait routes
/// of every service, each at its share of the total rate.

#ifndef FESCUEWOOD_BENCH_SCENARIOLOAD_H
#define FESCUEWOOD_BENCH_SCENARIOLOAD_H

#include "ScenarioSizes.h"

#include <array>
#include <string>
#include <vector>

namespace fescuewood::bench {

/// Phases of a scenario, in seconds from the start of its load.
struct ScenarioTimes {
  double FaultFrom = 2; ///< Calls sent earlier are not counted.
  double FaultUntil = 12;
  double End = 18;
};

/// Purpose of a stream of calls.
enum class StreamRole : std::uint8_t {
  Regular,
  Noisy,    ///< From the organisation that exceeds its share.
  Crashing, ///< Requests that crash every target that runs them.
};

/// Streams for the load driver and the role of each.
struct ScenarioLoad {
  std::vector<standins::LoadStream> Streams;
  std::vector<StreamRole> Roles;

  void add(const standins::LoadStream &Stream, StreamRole Role) {
    Streams.push_back(Stream);
    Roles.push_back(Role);
  }
};

/// A kind of call and its fraction of all calls.
struct CallKind {
  const char *Method;
  const char *Path;
  double Share;
  int InTimeMs;
};

inline constexpr std::array<CallKind, 3> CallKinds = {{
    {"GET", "read", 0.7, ReadLimitMs},
    {"POST", "write", 0.2, WriteLimitMs},
    {"GET", "wait", 0.1, WaitLimitMs},
}};

/// While the fault is active, one call in this many crashes its target.
inline constexpr double CallsPerCrash = 200;

/// Calls per second that keep a fraction \p Load of all slots in use.
inline double arrivalRate(const Deployment &Size, double Load, int ServiceMs) {
  return Load * Size.targets() * Size.Slots * 1000 / ServiceMs;
}

/// Makes all reads of an organisation on a route identical, like repeated reads
/// of one list. \p Name makes them differ from those of earlier runs, whose
/// crashes the mesh still remembers.
inline void makeIdentical(ScenarioLoad &Load, const std::string &Name) {
  for (standins::LoadStream &Stream : Load.Streams) {
    if (Stream.Method != "GET")
      continue;
    Stream.Distinct = false;
    Stream.Path += "?list=" + Name;
  }
}

/// Adds the calls of one organisation, \p PerSecond in total over all services.
inline void addOrganisation(ScenarioLoad &Load, const Deployment &Size,
                            std::size_t Organisation, double PerSecond,
                            const ScenarioTimes &Times, StreamRole Role) {
  for (const ServiceSize &Service : Size.Services) {
    for (const CallKind &Kind : CallKinds) {
      standins::LoadStream Stream;
      Stream.Organisation = organisationName(Organisation);
      Stream.Key = keyOf(Organisation);
      Stream.Method = Kind.Method;
      Stream.Path = fmt::format("/{}/{}", Service.Name, Kind.Path);
      Stream.PerSecond =
          PerSecond * Kind.Share * Service.Targets / Size.targets();
      Stream.InTimeMs = Kind.InTimeMs;
      Stream.Distinct = true;
      Stream.FromSeconds = Times.FaultFrom;
      Stream.UntilSeconds = Times.FaultUntil;
      if (Role == StreamRole::Regular) {
        Stream.FromSeconds = 0;
        Stream.UntilSeconds = Times.End;
      }
      Load.add(Stream, Role);
    }
  }
}

inline ScenarioLoad regularLoad(const Deployment &Size, double PerSecond,
                                const ScenarioTimes &Times) {
  ScenarioLoad Load;
  for (std::size_t I = 0; I < OrganisationShares.size(); ++I)
    addOrganisation(Load, Size, I, PerSecond * OrganisationShares.at(I), Times,
                    StreamRole::Regular);
  return Load;
}

/// Adds the excess calls of one organisation while the fault is active. All of
/// its calls, including those within its share, get the same role.
inline void addExcessLoad(ScenarioLoad &Load, const Deployment &Size,
                          double PerSecond, const ScenarioTimes &Times) {
  for (std::size_t I = 0; I < Load.Streams.size(); ++I)
    if (Load.Streams[I].Organisation == organisationName(NoisyOrganisation))
      Load.Roles[I] = StreamRole::Noisy;
  addOrganisation(Load, Size, NoisyOrganisation,
                  PerSecond * OrganisationShares.at(NoisyOrganisation) *
                      (NoisyRateFactor - 1),
                  Times, StreamRole::Noisy);
}

/// Adds a repeated request that crashes targets of one service.
inline void addCrashes(ScenarioLoad &Load, const Deployment &Size,
                       double PerSecond, const ScenarioTimes &Times) {
  standins::LoadStream Stream;
  Stream.Organisation = organisationName(0);
  Stream.Key = keyOf(0);
  Stream.Path = fmt::format("/{}/read/crash", Size.Services.front().Name);
  Stream.PerSecond = PerSecond / CallsPerCrash;
  Stream.InTimeMs = ReadLimitMs;
  Stream.Fields = "X-Test-Crash: 1\r\n";
  Stream.FromSeconds = Times.FaultFrom;
  Stream.UntilSeconds = Times.FaultUntil;
  Load.add(Stream, StreamRole::Crashing);
}

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_SCENARIOLOAD_H
