#include "policy/DependentAdmission.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace fescuewood {

namespace {

/// Share of its time up to which a call is no sign of a shortage, and from
/// which it counts as lost. The rest of the time takes up the calls that are
/// under way when the pressure rises.
/// With more than half of it, the delay overshoots into losses.
constexpr double LowestDelay = 0.1;
constexpr double HighestDelay = 0.45;

/// The lowest delay is at least this multiple of an unhindered call, but leaves
/// a part of the range for a service whose calls take most of their time.
constexpr double UnhinderedFactor = 3;
constexpr double MaxLowestDelay = 0.35;

/// Time constants of the two means of the pressure. The first is short: the
/// delay is old by its own length already, and a longer mean makes it swing.
constexpr DurationMs PressureTime{20};
constexpr DurationMs SteadyPressureTime{700};

/// Calls that end together count as if this much time passed between them.
/// Otherwise the first of them alone would count.
constexpr DurationMs MinCallGap{20};

/// A longer gap gives a single call no more weight in the steady mean.
constexpr DurationMs MaxSteadyGap{70};

/// Steady pressure at which a route is limited, and at which it is not any
/// more. Single slow calls stay below the first.
constexpr double LimitAt = 0.1;
constexpr double RestoreAt = 0.08;

/// Pressure that is tolerated without a refusal.
constexpr double ToleratedPressure = 0.05;

/// Weights with which the unhindered duration follows shorter and longer calls.
constexpr double ShorterWeight = 0.3;
constexpr double LongerWeight = 0.002;

double weightOf(DurationMs Gap, DurationMs TimeConstant) {
  return 1 - std::exp(-static_cast<double>(Gap.Value) /
                      static_cast<double>(TimeConstant.Value));
}

} // namespace

std::optional<InnerCallEnd> innerCallEnd(ResultCode Reason, int Status) {
  constexpr int TooManyRequests = 429;
  constexpr int Unavailable = 503;
  switch (Reason) {
  case ResultCode::Ok:
    return Status == TooManyRequests || Status == Unavailable
               ? InnerCallEnd::Lost
               : InnerCallEnd::Answered;
  case ResultCode::QueueFull:
  case ResultCode::DeadlineUnreachable:
  case ResultCode::Displaced:
  case ResultCode::DeadlineExceeded:
  case ResultCode::TargetTimeout:
  case ResultCode::TargetRateUsed:
  case ResultCode::LinkBusy:
  case ResultCode::AnswerMemoryFull:
  case ResultCode::BodyMemoryFull:
  case ResultCode::DependencyShort:
    return InnerCallEnd::Lost;
  default:
    return std::nullopt;
  }
}

void DependentAdmission::onInnerCall(std::string_view Route,
                                     const InnerCall &Call, TimeMs Now) {
  RouteState *State = findOrAdd(Route, Now);
  if (!State)
    return;
  const double Pressure = pressureOf(*State, Call);
  if (Call.End == InnerCallEnd::Answered)
    learnDuration(*State, Call.Duration);
  const DurationMs Gap = std::max(Now - State->LastCallAt, MinCallGap);
  State->Pressure += (Pressure - State->Pressure) * weightOf(Gap, PressureTime);
  State->SteadyPressure +=
      (Pressure - State->SteadyPressure) *
      weightOf(std::min(Gap, MaxSteadyGap), SteadyPressureTime);
  State->LastCallAt = Now;
  if (State->SteadyPressure > LimitAt)
    State->Limited = true;
  else if (State->SteadyPressure < RestoreAt)
    State->Limited = false;
}

bool DependentAdmission::admit(std::string_view Route, TimeMs Now) {
  const auto Found = Routes.find(Route);
  if (Found == Routes.end())
    return true;
  RouteState &State = Found->second;
  State.Credit += shareOf(State, Now);
  if (State.Credit >= 1) {
    State.Credit -= 1;
    return true;
  }
  if (State.Refused == 0)
    State.FirstRefusedAt = Now;
  ++State.Refused;
  State.LastRefusedAt = Now;
  return false;
}

double DependentAdmission::share(std::string_view Route, TimeMs Now) const {
  const auto Found = Routes.find(Route);
  return Found == Routes.end() ? 1 : shareOf(Found->second, Now);
}

std::vector<DependentChange> DependentAdmission::takeChanges(TimeMs Now) {
  std::vector<DependentChange> Changes;
  for (auto &[Route, State] : Routes) {
    if (State.Refused == 0)
      continue;
    const bool IsCalm = Now - State.LastRefusedAt >= DependentCalmTime;
    if (State.Reported && !IsCalm)
      continue;
    Changes.push_back({Route, !IsCalm, shareOf(State, Now), State.Refused,
                       State.LastRefusedAt - State.FirstRefusedAt});
    State.Reported = !IsCalm;
    if (IsCalm)
      State.Refused = 0;
  }
  return Changes;
}

TimeMs DependentAdmission::nextChange() const {
  TimeMs Next = Never;
  for (const auto &[Route, State] : Routes)
    if (State.Refused > 0)
      Next = std::min(Next, State.LastRefusedAt + DependentCalmTime);
  return Next;
}

std::size_t DependentAdmission::limitedRoutes() const {
  return static_cast<std::size_t>(
      std::count_if(Routes.begin(), Routes.end(),
                    [](const auto &Item) { return Item.second.Refused > 0; }));
}

double DependentAdmission::pressureOf(const RouteState &State,
                                      const InnerCall &Call) {
  if (Call.End == InnerCallEnd::Lost || Call.Allowed <= DurationMs(0))
    return 1;
  const auto Allowed = static_cast<double>(Call.Allowed.Value);
  const double Lowest = std::min(
      std::max(UnhinderedFactor * State.Unhindered, LowestDelay * Allowed),
      MaxLowestDelay * Allowed);
  const double Range = HighestDelay * Allowed - Lowest;
  const double Excess = static_cast<double>(Call.Duration.Value) - Lowest;
  return std::clamp(Excess / Range, 0.0, 1.0);
}

/// Follows the shorter calls. Longer ones count only while the route is not
/// limited, since they wait at the called service during a shortage.
void DependentAdmission::learnDuration(RouteState &State, DurationMs Duration) {
  const auto Taken = static_cast<double>(Duration.Value);
  if (State.Unhindered <= 0)
    State.Unhindered = Taken;
  else if (Taken < State.Unhindered)
    State.Unhindered += (Taken - State.Unhindered) * ShorterWeight;
  else if (!State.Limited)
    State.Unhindered += (Taken - State.Unhindered) * LongerWeight;
}

double DependentAdmission::shareOf(const RouteState &State, TimeMs Now) {
  if (!State.Limited || Now - State.LastCallAt > DependentEvidenceTime)
    return 1;
  return std::clamp((1 - State.Pressure) / (1 - ToleratedPressure),
                    MinDependentShare, 1.0);
}

DependentAdmission::RouteState *
DependentAdmission::findOrAdd(std::string_view Route, TimeMs Now) {
  const auto Found = Routes.find(Route);
  if (Found != Routes.end()) {
    RouteState &State = Found->second;
    if (Now - State.LastCallAt > DependentEvidenceTime) {
      State.Pressure = 0;
      State.SteadyPressure = 0;
      State.Limited = false;
    }
    return &State;
  }
  if (Routes.size() >= MaxDependentRoutes)
    forgetUnused(Now);
  if (Routes.size() >= MaxDependentRoutes)
    return nullptr;
  RouteState &Added = Routes[std::string(Route)];
  Added.LastCallAt = Now;
  return &Added;
}

void DependentAdmission::forgetUnused(TimeMs Now) {
  std::erase_if(Routes, [Now](const auto &Item) {
    return Item.second.Refused == 0 &&
           Now - Item.second.LastCallAt > DependentEvidenceTime;
  });
}

} // namespace fescuewood
