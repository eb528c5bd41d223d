#include "soak/FaultPlan.h"

#include <algorithm>
#include <map>
#include <random>
#include <utility>

namespace fescuewood::soak {

namespace {

/// Time beyond its duration that a fault may occupy its part.
DurationMs extraTime(const Scenario &Plan, FaultKind Kind) {
  constexpr DurationMs Restart{1000};
  if (Kind == FaultKind::NodeTerm)
    return Plan.Limits.Grace + Restart;
  if (Kind == FaultKind::TargetLeave)
    return Plan.Limits.Departure * 2 + Restart;
  return Restart;
}

} // namespace

FaultPart partOf(const PlannedFault &Fault) {
  using enum FaultPart::Kind;
  if (Fault.Kind <= FaultKind::NodeHup)
    return {Node, Fault.Node};
  if (Fault.Kind <= FaultKind::TargetRefuse)
    return {Target, Fault.Node};
  return {Fault.Kind == FaultKind::Configuration ? Configuration : Store, 0};
}

std::vector<PlannedFault> planFaults(const Scenario &Plan, std::uint64_t Seed) {
  // The standard's distributions differ between libraries, its engines do not.
  std::mt19937_64 Random(Seed);
  const auto Below = [&](std::int64_t Limit) {
    return static_cast<std::int64_t>(Random() %
                                     static_cast<std::uint64_t>(Limit));
  };
  std::map<FaultPart, DurationMs> BusyUntil;
  std::vector<PlannedFault> Faults;
  std::vector<FaultKind> Waiting;
  DurationMs Now{0};
  for (;;) {
    Now = Now + DurationMs(1 + Below(2 * Plan.MeanGap.Value));
    if (Now > Plan.FaultTime)
      return Faults;
    PlannedFault Next;
    // Each fault comes before one comes again, so that short soaks play all.
    if (Waiting.empty())
      Waiting = Plan.Faults;
    const auto Drawn =
        Waiting.begin() + Below(static_cast<std::int64_t>(Waiting.size()));
    Next.Kind = *Drawn;
    Next.Node =
        static_cast<std::size_t>(Below(static_cast<std::int64_t>(Plan.Nodes)));
    Next.Start = Now;
    const std::int64_t Spread = Plan.MaxDuration.Value - Plan.MinDuration.Value;
    Next.Duration = Plan.MinDuration + DurationMs(Below(Spread + 1));
    DurationMs &Busy = BusyUntil[partOf(Next)];
    if (Busy > Now)
      continue;
    Waiting.erase(Drawn);
    Busy = Now + Next.Duration + extraTime(Plan, Next.Kind);
    Faults.push_back(Next);
  }
}

} // namespace fescuewood::soak
