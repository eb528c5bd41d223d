/// \file
/// One soak from the start of its processes to the checks.

#ifndef FESCUEWOOD_SOAK_SOAK_H
#define FESCUEWOOD_SOAK_SOAK_H

#include "soak/Callers.h"
#include "soak/Checker.h"
#include "soak/Injector.h"
#include "soak/Mesh.h"

#include <string>
#include <vector>

namespace fescuewood::soak {

/// What came of a soak.
struct SoakResult {
  std::string Failure; ///< Why the soak could not be run; empty if it was.
  std::vector<InjectedFault> Faults;
  DurationMs LongestDelay; ///< Of the driver's own timers.
  std::vector<Violation> Violations;
  History Seen;
};

class Soak {
public:
  Soak(const Scenario &Plan, const SoakPaths &Paths, std::uint64_t Seed);

  /// Runs until the end, or until SIGINT or SIGTERM. All processes that it
  /// started have ended when it returns.
  SoakResult run();

private:
  asio::awaitable<void> play();
  asio::awaitable<void> startMesh();
  asio::awaitable<void> renewEntries();
  asio::awaitable<void> watchProcesses();
  asio::awaitable<void> awaitServing(std::size_t Node);
  void spawn(asio::awaitable<void> Work);
  void fail(const std::string &Reason);

  Scenario Plan;
  std::uint64_t Seed;
  asio::io_context Context;
  SoakResult Result;
  Mesh Processes;
  Callers Traffic;
  Injector Faults;
};

} // namespace fescuewood::soak

#endif // FESCUEWOOD_SOAK_SOAK_H
