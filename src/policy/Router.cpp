#include "policy/Router.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Relative probability of being drawn, by nearness.
constexpr double OwnDomainWeight = 4.0;
constexpr double OwnRegionWeight = 2.0;
constexpr double RemoteWeight = 0.05;

/// Longest time that a silent node is avoided, as a multiple of the first.
constexpr std::int64_t MaxSuspectFactor = 8;

/// Factor on the distance cost of a large payload.
constexpr double LargeDistanceFactor = 5;

/// Latency assumed before the first load report.
constexpr double DefaultLatencyMs = 10.0;

/// Cost of a fully utilised target without a queue, as a share of its latency;
/// balances load among targets that all have free slots.
constexpr double UtilisationCost = 0.5;

/// A uniform random number in [0, 1).
double uniform(const RandomHook &Random) {
  constexpr int MantissaBits = 53;
  constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
  return static_cast<double>(Random() >> (64 - MantissaBits)) * Scale;
}

} // namespace

Router::Router(RouterSettings Settings, std::string OwnDomain)
    : Settings(Settings), OwnDomain(std::move(OwnDomain)),
      Ramp(Settings.DomainRampTime) {}

std::vector<DomainChange> Router::setSnapshot(const Snapshot &Config,
                                              TimeMs Now) {
  Regions.clear();
  for (const auto &[Name, Declared] : Config.Domains)
    Regions[Name] = Declared.Region;
  const auto Own = Regions.find(OwnDomain);
  OwnRegion = Own == Regions.end() ? std::string() : Own->second;
  return Ramp.update(Config, Now);
}

void Router::setInstances(std::span<const Instance> Instances) {
  std::map<std::string, Entry, std::less<>> Next;
  for (const Instance &Each : Instances) {
    Entry &Updated = Next[Each.Name];
    const auto Previous = Entries.find(Each.Name);
    if (Previous != Entries.end())
      Updated = std::move(Previous->second);
    Updated.Description = Each;
  }
  Entries = std::move(Next);
  Services.clear();
  for (const auto &[Name, Each] : Entries)
    Services[Each.Description.Service].push_back(&Each);
}

void Router::onLoad(std::string_view Name, const TargetLoad &Load, TimeMs Now) {
  Entry *Target = find(Name);
  if (!Target)
    return;
  Target->Load = Load;
  Target->LoadAt = Now;
  if (Load.LinkDelay)
    Target->LinkFreeAt = Now + std::min(*Load.LinkDelay, Settings.LoadMaxAge);
  Target->SentSinceLoad = 0;
  Target->SuspectUntil = TimeMs(0);
  Target->SuspectDuration = DurationMs(0);
}

void Router::onSent(std::string_view Name) {
  Entry *Target = find(Name);
  if (!Target)
    return;
  ++Target->SentSinceLoad;
  ++Target->Outstanding;
}

void Router::onEnded(std::string_view Name) {
  Entry *Target = find(Name);
  if (Target && Target->Outstanding > 0)
    --Target->Outstanding;
}

void Router::onSilent(std::string_view Name, TimeMs Now) {
  Entry *Target = find(Name);
  if (!Target || Target->SuspectUntil > Now)
    return;
  Target->SuspectDuration =
      std::clamp(Target->SuspectDuration * 2, Settings.SuspectTime,
                 Settings.SuspectTime * MaxSuspectFactor);
  Target->SuspectUntil = Now + Target->SuspectDuration;
}

bool Router::isSuspected(std::string_view Name) const {
  const auto Found = Entries.find(Name);
  return Found != Entries.end() &&
         Found->second.SuspectDuration > DurationMs(0);
}

DurationMs Router::typicalAnswerTime(std::string_view Name, TimeMs Now) const {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return DurationMs(0);
  const Entry &Target = Found->second;
  const double Latency = Target.Load && Target.Load->Latency > DurationMs(0)
                             ? static_cast<double>(Target.Load->Latency.Value)
                             : DefaultLatencyMs;
  return DurationMs(
      static_cast<std::int64_t>(Latency + expectedWait(Target, Now)));
}

const Instance *Router::pick(std::string_view Service,
                             std::span<const std::string> Excluded, TimeMs Now,
                             const RandomHook &Random, PayloadSize Size) const {
  const std::vector<Choice> Eligible = choices(Service, Excluded, Now);
  if (Eligible.empty())
    return nullptr;
  if (Settings.PickAtRandom)
    return &Eligible.at(Random() % Eligible.size()).Candidate->Description;
  const Entry *Picked = Settings.NearFirst
                            ? nearFirst(Eligible, Now, Random, Size)
                            : bestOfSample(Eligible, Now, Random, Size);
  return &Picked->Description;
}

bool Router::hasTarget(std::string_view Service,
                       std::span<const std::string> Excluded,
                       TimeMs Now) const {
  return !choices(Service, Excluded, Now).empty();
}

/// Draws a few candidates by weight and returns the one with the shortest
/// expected wait. \p Eligible must not be empty.
const Router::Entry *Router::bestOfSample(std::vector<Choice> Eligible,
                                          TimeMs Now, const RandomHook &Random,
                                          PayloadSize Size) const {
  double Total = 0;
  for (const Choice &C : Eligible)
    Total += C.Weight;
  const Entry *Best = nullptr;
  double BestWait = 0;
  for (std::uint32_t I = 0; I < Settings.Choices && !Eligible.empty(); ++I) {
    double Drawn = uniform(Random) * Total;
    std::size_t At = 0;
    while (At + 1 < Eligible.size() && Drawn >= Eligible[At].Weight)
      Drawn -= Eligible[At++].Weight;
    const double Wait = expectedWait(*Eligible[At].Candidate, Now, Size);
    if (!Best || Wait < BestWait) {
      Best = Eligible[At].Candidate;
      BestWait = Wait;
    }
    Total -= Eligible[At].Weight;
    Eligible.erase(Eligible.begin() + static_cast<std::ptrdiff_t>(At));
  }
  return Best;
}

/// Selects a candidate of the own domain, unless one of another domain has a
/// shorter expected wait including its distance cost.
const Router::Entry *Router::nearFirst(const std::vector<Choice> &Eligible,
                                       TimeMs Now, const RandomHook &Random,
                                       PayloadSize Size) const {
  std::vector<Choice> Near;
  std::vector<Choice> Others;
  for (const Choice &Each : Eligible) {
    const bool IsNear = nearnessOf(*Each.Candidate) == Nearness::OwnDomain;
    (IsNear ? Near : Others).push_back(Each);
  }
  if (Near.empty() || Others.empty())
    return bestOfSample(Eligible, Now, Random, Size);
  const Entry *BestNear = bestOfSample(std::move(Near), Now, Random, Size);
  const Entry *BestOther = bestOfSample(std::move(Others), Now, Random, Size);
  const double Factor = Size == PayloadSize::Large ? LargeDistanceFactor : 1;
  // The expected wait includes the distance cost once.
  const double OtherCost = expectedWait(*BestOther, Now, Size) +
                           (Factor - 1) * distanceCost(*BestOther);
  return expectedWait(*BestNear, Now, Size) <= OtherCost ? BestNear : BestOther;
}

std::vector<RouterCandidate> Router::explain(std::string_view Service,
                                             TimeMs Now) const {
  std::vector<RouterCandidate> Result;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Result;
  for (const Entry *Each : Found->second)
    Result.push_back({Each->Description.Name, Each->Description.Domain,
                      stateOf(*Each, Now), weightOf(*Each, Now),
                      expectedWait(*Each, Now, PayloadSize::Large)});
  return Result;
}

TargetState Router::stateOf(const Entry &Candidate, TimeMs Now) const {
  // A listed draining state takes precedence over load reports, which may be
  // older. Otherwise a fresh load report takes precedence.
  if (Candidate.Description.State == TargetState::Draining)
    return TargetState::Draining;
  const bool Fresh =
      Candidate.Load && Now - Candidate.LoadAt <= Settings.LoadMaxAge;
  return Fresh ? Candidate.Load->State : Candidate.Description.State;
}

Router::Nearness Router::nearnessOf(const Entry &Candidate) const {
  if (Candidate.Description.Domain == OwnDomain)
    return Nearness::OwnDomain;
  const auto Region = Regions.find(Candidate.Description.Domain);
  if (Region != Regions.end() && Region->second == OwnRegion)
    return Nearness::OwnRegion;
  return Nearness::Remote;
}

double Router::weightOf(const Entry &Candidate, TimeMs Now) const {
  const TargetState State = stateOf(Candidate, Now);
  if (State == TargetState::Draining || State == TargetState::Down)
    return 0;
  const double Weight = Ramp.share(Candidate.Description.Domain, Now);
  switch (nearnessOf(Candidate)) {
  case Nearness::OwnDomain:
    return Weight * OwnDomainWeight;
  case Nearness::OwnRegion:
    return Weight * OwnRegionWeight;
  case Nearness::Remote:
    return Weight * RemoteWeight;
  }
  return Weight;
}

double Router::expectedWait(const Entry &Candidate, TimeMs Now,
                            PayloadSize Size) const {
  const bool Fresh =
      Candidate.Load && Now - Candidate.LoadAt <= Settings.LoadMaxAge;
  double Limit = 1;
  double Latency = DefaultLatencyMs;
  double Requests = Candidate.Outstanding;
  if (Candidate.Load) {
    Limit = std::max(1U, Candidate.Load->Limit);
    if (Candidate.Load->Latency > DurationMs(0))
      Latency = static_cast<double>(Candidate.Load->Latency.Value);
  }
  if (Fresh)
    Requests = std::max(Requests, static_cast<double>(Candidate.Load->InFlight +
                                                      Candidate.Load->Queued +
                                                      Candidate.SentSinceLoad));
  const double Queue = std::max(0.0, Requests + 1 - Limit) / Limit;
  const double Utilisation = std::min(1.0, Requests / Limit);
  return distanceCost(Candidate) + runTime(Candidate) +
         (Queue + UtilisationCost * Utilisation) * Latency +
         linkWait(Candidate, Now, Size);
}

/// Expected wait for the link of a target. The link has sent as much of what it
/// reported as fits in the time since then. Small messages wait for no turn; if
/// they counted the delay, they would crowd at the targets with idle links.
double Router::linkWait(const Entry &Candidate, TimeMs Now, PayloadSize Size) {
  if (Size != PayloadSize::Large)
    return 0;
  const DurationMs Left = std::max(Candidate.LinkFreeAt - Now, DurationMs(0));
  return static_cast<double>(Left.Value);
}

/// Expected run time at a target as far as it counts in the wait; 0 before the
/// first load report, so that a new target is tried.
double Router::runTime(const Entry &Candidate) const {
  if (!Settings.ByFinish || !Candidate.Load)
    return 0;
  return static_cast<double>(Candidate.Load->Latency.Value);
}

/// Wait equivalent to the distance to a target, in milliseconds.
double Router::distanceCost(const Entry &Candidate) const {
  switch (nearnessOf(Candidate)) {
  case Nearness::OwnDomain:
    return 0;
  case Nearness::OwnRegion:
    return static_cast<double>(Settings.RegionCost.Value);
  case Nearness::Remote:
    return static_cast<double>(Settings.RemoteCost.Value);
  }
  return 0;
}

std::vector<Router::Choice>
Router::choices(std::string_view Service, std::span<const std::string> Excluded,
                TimeMs Now) const {
  std::vector<Choice> Eligible;
  std::vector<Choice> Suspected;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Eligible;
  for (const Entry *Each : Found->second) {
    if (std::find(Excluded.begin(), Excluded.end(), Each->Description.Name) !=
        Excluded.end())
      continue;
    const double Weight = weightOf(*Each, Now);
    if (Weight > 0)
      (Each->SuspectUntil > Now ? Suspected : Eligible)
          .push_back({Each, Weight});
  }
  // Suspected nodes are a last resort, since a call to one may miss its
  // deadline.
  return Eligible.empty() ? Suspected : Eligible;
}

Router::Entry *Router::find(std::string_view Name) {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

} // namespace fescuewood
