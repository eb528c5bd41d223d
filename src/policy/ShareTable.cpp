#include "policy/ShareTable.h"

#include <algorithm>
#include <cmath>
#include <fmt/format.h>
#include <tuple>

namespace fescuewood {

TokenShare memberwiseMin(const TokenShare &Left, const TokenShare &Right) {
  return {std::min(Left.PerSecond, Right.PerSecond),
          std::min(Left.Burst, Right.Burst)};
}

bool ShareTable::Group::contains(const SlotId &Slot) const {
  return Slot.Domain == Domain && Slot.Slot >= First &&
         Slot.Slot < First + Slots;
}

std::string ShareTable::Group::name() const {
  return fmt::format("{}\n{}", Domain, First);
}

ShareTable::ShareTable(const Snapshot &Source, const TokenSettings &Settings) {
  for (const auto &[Name, Declared] : Source.Domains)
    addGroups(Declared, Settings);
  if (Groups.empty())
    return;
  std::string Content;
  for (const auto &[Name, Declared] : Source.Organisations) {
    const auto FleetRate = Source.Rates.find(Declared.Rate);
    if (FleetRate == Source.Rates.end())
      continue;
    divide(Name, FleetRate->second, Settings);
    for (const MeterShare &M : Divisions[Name].Meters)
      Content += fmt::format("{}\n{}\n{}\n{}\n{}\n", Name, M.Slot.Domain,
                             M.Slot.Slot, M.Share.PerSecond, M.Share.Burst);
  }
  TableDigest = stableHash(Content);
}

void ShareTable::addGroups(const Domain &Declared,
                           const TokenSettings &Settings) {
  const std::uint32_t Slots = Declared.Nodes;
  if (Slots == 0)
    return;
  const std::uint32_t PerMeter = std::max(Settings.SlotsPerMeter, 1U);
  std::uint32_t Count = (Slots + PerMeter - 1) / PerMeter;
  Count = std::min(std::max(Count, Settings.MetersPerDomain), Slots);
  for (std::uint32_t I = 0; I < Count; ++I) {
    const auto First = static_cast<std::uint32_t>(
        static_cast<std::uint64_t>(Slots) * I / Count);
    const auto End = static_cast<std::uint32_t>(
        static_cast<std::uint64_t>(Slots) * (I + 1) / Count);
    Groups.push_back({Declared.Name, First, End - First});
  }
}

std::uint32_t ShareTable::meterOf(std::string_view Organisation,
                                  const Group &G) const {
  std::uint32_t Best = G.First;
  std::uint64_t BestScore = 0;
  for (std::uint32_t Slot = G.First; Slot < G.First + G.Slots; ++Slot) {
    const std::uint64_t Score =
        stableHash(fmt::format("{}\n{}\n{}", Organisation, G.Domain, Slot));
    if (Score < BestScore)
      continue;
    Best = Slot;
    BestScore = Score;
  }
  return Best;
}

std::vector<ShareTable::Placement>
ShareTable::placements(std::string_view Organisation, std::size_t Count) const {
  struct Candidate {
    std::size_t Group;
    std::uint64_t Score;
    std::size_t RankInDomain = 0;
  };
  std::vector<Candidate> Candidates;
  for (std::size_t I = 0; I < Groups.size(); ++I) {
    const std::string Text =
        fmt::format("{}\n{}", Organisation, Groups[I].name());
    Candidates.push_back({I, stableHash(Text)});
  }
  std::sort(Candidates.begin(), Candidates.end(),
            [](const Candidate &L, const Candidate &R) {
              return std::tie(L.Score, L.Group) > std::tie(R.Score, R.Group);
            });
  // Every domain gets its first meter before any gets a second.
  std::map<std::string, std::size_t> Ranks;
  for (Candidate &C : Candidates)
    C.RankInDomain = Ranks[Groups[C.Group].Domain]++;
  std::stable_sort(Candidates.begin(), Candidates.end(),
                   [](const Candidate &L, const Candidate &R) {
                     return L.RankInDomain < R.RankInDomain;
                   });
  Candidates.resize(std::min(Count, Candidates.size()));

  std::vector<Placement> Result;
  Result.reserve(Candidates.size());
  for (const Candidate &C : Candidates)
    Result.push_back({C.Group, meterOf(Organisation, Groups[C.Group])});
  return Result;
}

void ShareTable::divide(const std::string &Organisation, const Rate &FleetRate,
                        const TokenSettings &Settings) {
  std::size_t Count = Groups.size();
  if (Settings.MinMeterBurst > 0) {
    const double Most = std::floor(FleetRate.Burst / Settings.MinMeterBurst);
    if (Most < static_cast<double>(Count))
      Count = static_cast<std::size_t>(std::max(Most, 1.0));
  }
  const std::vector<Placement> Chosen = placements(Organisation, Count);
  double Slots = 0;
  for (const Placement &P : Chosen)
    Slots += Groups[P.Group].Slots;
  Division &Result = Divisions[Organisation];
  for (const Placement &P : Chosen) {
    const Group &G = Groups[P.Group];
    const double Part = G.Slots / Slots;
    Result.Meters.push_back(
        {{G.Domain, P.Slot},
         {FleetRate.PerSecond * Part, FleetRate.Burst * Part}});
    Result.Groups.push_back(P.Group);
  }
}

std::span<const MeterShare>
ShareTable::meters(std::string_view Organisation) const {
  const auto It = Divisions.find(Organisation);
  if (It == Divisions.end())
    return {};
  return It->second.Meters;
}

SlotShares ShareTable::sharesOf(const SlotId &Slot) const {
  SlotShares Result;
  for (const auto &[Name, Division] : Divisions)
    for (const MeterShare &M : Division.Meters)
      if (M.Slot == Slot)
        Result[Name] = M.Share;
  return Result;
}

std::vector<SlotId> ShareTable::requestOrder(std::string_view Organisation,
                                             const SlotId &Requester) const {
  const auto It = Divisions.find(Organisation);
  if (It == Divisions.end())
    return {};
  struct Choice {
    int Distance;
    std::uint64_t Score;
    const SlotId *Slot;
  };
  std::vector<Choice> Choices;
  const Division &D = It->second;
  for (std::size_t I = 0; I < D.Meters.size(); ++I) {
    const SlotId &Slot = D.Meters[I].Slot;
    if (Slot == Requester)
      continue;
    int Distance = Slot.Domain == Requester.Domain ? 1 : 2;
    if (Groups[D.Groups[I]].contains(Requester))
      Distance = 0;
    // The order depends on the requesting slot, to spread load over the meters
    // at the same distance.
    const std::uint64_t Score =
        stableHash(fmt::format("{}\n{}\n{}\n{}", Requester.Domain,
                               Requester.Slot, Slot.Domain, Slot.Slot));
    Choices.push_back({Distance, Score, &Slot});
  }
  std::sort(
      Choices.begin(), Choices.end(), [](const Choice &L, const Choice &R) {
        return std::tie(L.Distance, L.Score) < std::tie(R.Distance, R.Score);
      });
  std::vector<SlotId> Result;
  Result.reserve(Choices.size());
  for (const Choice &C : Choices)
    Result.push_back(*C.Slot);
  return Result;
}

} // namespace fescuewood
