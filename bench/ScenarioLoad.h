/// \file
/// The calls of a scenario: every organisation reads, writes and waits on every
/// service, each at its share of one total rate.

#ifndef FESCUEWOOD_BENCH_SCENARIOLOAD_H
#define FESCUEWOOD_BENCH_SCENARIOLOAD_H

#include "ScenarioSizes.h"

#include <array>
#include <string>
#include <vector>

namespace fescuewood::bench {

/// When what happens in a scenario, in seconds of its load.
struct ScenarioTimes {
  double FaultFrom = 2; ///< Calls sent earlier are not counted.
  double FaultUntil = 12;
  double End = 18;
};

/// What a stream of calls is for.
enum class StreamRole : std::uint8_t {
  Usual,
  Offending, ///< Of the organisation that sends more than its share.
  Crashing,  ///< The request that crashes each target that runs it.
};

/// Streams for the load driver, with the role of each.
struct ScenarioLoad {
  std::vector<standins::LoadStream> Streams;
  std::vector<StreamRole> Roles;

  void add(const standins::LoadStream &Stream, StreamRole Role) {
    Streams.push_back(Stream);
    Roles.push_back(Role);
  }
};

/// A kind of call and its share of all.
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

/// One in so many calls crashes its target, while that lasts.
inline constexpr double CallsPerCrash = 200;

/// Calls a second that keep a share of all slots in use.
inline double rateFor(const Deployment &Size, double Load, int ServiceMs) {
  return Load * Size.targets() * Size.Slots * 1000 / ServiceMs;
}

/// Makes the requests of an organisation on a route all the same, as reads of
/// one list are. \p Name keeps them apart from those of other runs, whose
/// crashes are still remembered.
inline void makeAlike(ScenarioLoad &Load, const std::string &Name) {
  for (standins::LoadStream &Each : Load.Streams) {
    if (Each.Method != "GET")
      continue;
    Each.Distinct = false;
    Each.Path += "?list=" + Name;
  }
}

/// The calls of one organisation at \p PerSecond over all services.
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
      if (Role == StreamRole::Usual) {
        Stream.FromSeconds = 0;
        Stream.UntilSeconds = Times.End;
      }
      Load.add(Stream, Role);
    }
  }
}

inline ScenarioLoad usualLoad(const Deployment &Size, double PerSecond,
                              const ScenarioTimes &Times) {
  ScenarioLoad Load;
  for (std::size_t I = 0; I < OrganisationShares.size(); ++I)
    addOrganisation(Load, Size, I, PerSecond * OrganisationShares.at(I), Times,
                    StreamRole::Usual);
  return Load;
}

/// The excess of one organisation while the fault lasts. All its calls count
/// as offending ones.
inline void addOffence(ScenarioLoad &Load, const Deployment &Size,
                       double PerSecond, const ScenarioTimes &Times) {
  for (std::size_t I = 0; I < Load.Streams.size(); ++I)
    if (Load.Streams[I].Organisation == organisationName(Offender))
      Load.Roles[I] = StreamRole::Offending;
  addOrganisation(Load, Size, Offender,
                  PerSecond * OrganisationShares.at(Offender) *
                      (OffenderTimes - 1),
                  Times, StreamRole::Offending);
}

/// One request, sent again and again, that crashes targets of one service.
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
