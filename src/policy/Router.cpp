#include "policy/Router.h"

#include <algorithm>
#include <utility>

namespace fescuewood {

namespace {

/// Relative chances to be drawn, by nearness.
constexpr double OwnDomainWeight = 4.0;
constexpr double OwnRegionWeight = 2.0;
constexpr double RemoteWeight = 0.05;

/// Longest suspicion, in times of the first.
constexpr std::int64_t MaxSuspectFactor = 8;

/// How much more distance counts for a long answer than for a usual one.
constexpr double LargeDistanceFactor = 5;

/// Latency assumed before the first report, in milliseconds.
constexpr double UnknownLatency = 10.0;

/// Share of the latency that a fully used target costs though nothing waits;
/// keeps load even among targets that all have free slots.
constexpr double UseCost = 0.5;

/// A uniform number from 0 up to, but not including, 1.
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
  for (const Instance &Place : Instances) {
    Entry &Kept = Next[Place.Name];
    const auto Known = Entries.find(Place.Name);
    if (Known != Entries.end())
      Kept = std::move(Known->second);
    Kept.Place = Place;
  }
  Entries = std::move(Next);
  Services.clear();
  for (const auto &[Name, Kept] : Entries)
    Services[Kept.Place.Service].push_back(&Kept);
}

void Router::onLoad(std::string_view Name, const TargetLoad &Load, TimeMs Now) {
  Entry *Known = find(Name);
  if (!Known)
    return;
  Known->Load = Load;
  Known->LoadAt = Now;
  Known->SentSinceLoad = 0;
  Known->SuspectUntil = TimeMs(0);
  Known->SuspectSpan = DurationMs(0);
}

void Router::onSent(std::string_view Name) {
  Entry *Known = find(Name);
  if (!Known)
    return;
  ++Known->SentSinceLoad;
  ++Known->Outstanding;
}

void Router::onEnded(std::string_view Name) {
  Entry *Known = find(Name);
  if (Known && Known->Outstanding > 0)
    --Known->Outstanding;
}

void Router::onSilent(std::string_view Name, TimeMs Now) {
  Entry *Known = find(Name);
  if (!Known || Known->SuspectUntil > Now)
    return;
  Known->SuspectSpan = std::clamp(Known->SuspectSpan * 2, Settings.SuspectTime,
                                  Settings.SuspectTime * MaxSuspectFactor);
  Known->SuspectUntil = Now + Known->SuspectSpan;
}

bool Router::isSuspected(std::string_view Name) const {
  const auto Found = Entries.find(Name);
  return Found != Entries.end() && Found->second.SuspectSpan > DurationMs(0);
}

DurationMs Router::typicalAnswerTime(std::string_view Name, TimeMs Now) const {
  const auto Found = Entries.find(Name);
  if (Found == Entries.end())
    return DurationMs(0);
  const Entry &Known = Found->second;
  const double Latency = Known.Load && Known.Load->Latency > DurationMs(0)
                             ? static_cast<double>(Known.Load->Latency.Value)
                             : UnknownLatency;
  return DurationMs(
      static_cast<std::int64_t>(Latency + expectedWait(Known, Now)));
}

const Instance *Router::pick(std::string_view Service,
                             std::span<const std::string> Tried, TimeMs Now,
                             const RandomHook &Random, AnswerSize Size) const {
  const std::vector<Choice> Open = choices(Service, Tried, Now);
  if (Open.empty())
    return nullptr;
  if (Settings.PickAtRandom)
    return &Open.at(Random() % Open.size()).Candidate->Place;
  const Entry *Picked = Settings.NearFirst ? nearFirst(Open, Now, Random, Size)
                                           : best(Open, Now, Random);
  return &Picked->Place;
}

/// The best of a few that are drawn by weight; \p Open holds one at least.
const Router::Entry *Router::best(std::vector<Choice> Open, TimeMs Now,
                                  const RandomHook &Random) const {
  double Total = 0;
  for (const Choice &C : Open)
    Total += C.Weight;
  const Entry *Best = nullptr;
  double BestWait = 0;
  for (std::uint32_t I = 0; I < Settings.Choices && !Open.empty(); ++I) {
    double Drawn = uniform(Random) * Total;
    std::size_t At = 0;
    while (At + 1 < Open.size() && Drawn >= Open[At].Weight)
      Drawn -= Open[At++].Weight;
    const double Wait = expectedWait(*Open[At].Candidate, Now);
    if (!Best || Wait < BestWait) {
      Best = Open[At].Candidate;
      BestWait = Wait;
    }
    Total -= Open[At].Weight;
    Open.erase(Open.begin() + static_cast<std::ptrdiff_t>(At));
  }
  return Best;
}

/// The best of the own domain, unless the best of the others is expected to
/// answer sooner by more than their distance counts.
const Router::Entry *Router::nearFirst(const std::vector<Choice> &Open,
                                       TimeMs Now, const RandomHook &Random,
                                       AnswerSize Size) const {
  std::vector<Choice> Near;
  std::vector<Choice> Others;
  for (const Choice &Each : Open) {
    const bool IsNear = nearnessOf(*Each.Candidate) == Nearness::OwnDomain;
    (IsNear ? Near : Others).push_back(Each);
  }
  if (Near.empty() || Others.empty())
    return best(Open, Now, Random);
  const Entry *Home = best(std::move(Near), Now, Random);
  const Entry *Away = best(std::move(Others), Now, Random);
  const double Factor = Size == AnswerSize::Large ? LargeDistanceFactor : 1;
  // The distance stands once in the expected wait already.
  const double AwayCost =
      expectedWait(*Away, Now) + (Factor - 1) * distanceCost(*Away);
  return expectedWait(*Home, Now) <= AwayCost ? Home : Away;
}

std::vector<RouterCandidate> Router::explain(std::string_view Service,
                                             TimeMs Now) const {
  std::vector<RouterCandidate> Result;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Result;
  for (const Entry *Each : Found->second)
    Result.push_back({Each->Place.Name, Each->Place.Domain, stateOf(*Each, Now),
                      weightOf(*Each, Now), expectedWait(*Each, Now)});
  return Result;
}

TargetState Router::stateOf(const Entry &Candidate, TimeMs Now) const {
  // That an instance leaves outranks an older report of its load; otherwise
  // the fresher word counts.
  if (Candidate.Place.State == TargetState::Draining)
    return TargetState::Draining;
  const bool Fresh =
      Candidate.Load && Now - Candidate.LoadAt <= Settings.LoadMaxAge;
  return Fresh ? Candidate.Load->State : Candidate.Place.State;
}

Router::Nearness Router::nearnessOf(const Entry &Candidate) const {
  if (Candidate.Place.Domain == OwnDomain)
    return Nearness::OwnDomain;
  const auto Region = Regions.find(Candidate.Place.Domain);
  if (Region != Regions.end() && Region->second == OwnRegion)
    return Nearness::OwnRegion;
  return Nearness::Remote;
}

double Router::weightOf(const Entry &Candidate, TimeMs Now) const {
  const TargetState State = stateOf(Candidate, Now);
  if (State == TargetState::Draining || State == TargetState::Down)
    return 0;
  const double Weight = Ramp.share(Candidate.Place.Domain, Now);
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

double Router::expectedWait(const Entry &Candidate, TimeMs Now) const {
  const bool Fresh =
      Candidate.Load && Now - Candidate.LoadAt <= Settings.LoadMaxAge;
  double Limit = 1;
  double Latency = UnknownLatency;
  double Held = Candidate.Outstanding;
  if (Candidate.Load) {
    Limit = std::max(1U, Candidate.Load->Limit);
    if (Candidate.Load->Latency > DurationMs(0))
      Latency = static_cast<double>(Candidate.Load->Latency.Value);
  }
  if (Fresh)
    Held = std::max(Held, static_cast<double>(Candidate.Load->InFlight +
                                              Candidate.Load->Queued +
                                              Candidate.SentSinceLoad));
  const double Queue = std::max(0.0, Held + 1 - Limit) / Limit;
  const double Use = std::min(1.0, Held / Limit);
  return distanceCost(Candidate) + (Queue + UseCost * Use) * Latency;
}

/// What the distance to a target counts as, in milliseconds of waiting.
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

std::vector<Router::Choice> Router::choices(std::string_view Service,
                                            std::span<const std::string> Tried,
                                            TimeMs Now) const {
  std::vector<Choice> Open;
  std::vector<Choice> Suspected;
  const auto Found = Services.find(Service);
  if (Found == Services.end())
    return Open;
  for (const Entry *Each : Found->second) {
    if (std::find(Tried.begin(), Tried.end(), Each->Place.Name) != Tried.end())
      continue;
    const double Weight = weightOf(*Each, Now);
    if (Weight > 0)
      (Each->SuspectUntil > Now ? Suspected : Open).push_back({Each, Weight});
  }
  // A suspected node is the last resort: to a call it may cost the deadline.
  return Open.empty() ? Suspected : Open;
}

Router::Entry *Router::find(std::string_view Name) {
  const auto Found = Entries.find(Name);
  return Found == Entries.end() ? nullptr : &Found->second;
}

} // namespace fescuewood
