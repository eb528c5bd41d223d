#include "policy/SplitTable.h"

#include "core/Digest.h"

#include <numeric>

#include <fmt/format.h>

namespace fescuewood {

namespace {

/// 2^64 divided by the golden ratio: the step with the lowest discrepancy.
constexpr std::uint64_t GoldenStep = 0x9E3779B97F4A7C15ULL;

/// Maps a 64-bit point to [0, 1).
double fraction(std::uint64_t Point) {
  constexpr unsigned MantissaBits = 53;
  constexpr double Scale = 1.0 / static_cast<double>(1ULL << MantissaBits);
  return static_cast<double>(Point >> (64 - MantissaBits)) * Scale;
}

/// Where the sequence of a route starts. Hashed as a whole: seeds of nodes that
/// start together differ in their low bits only.
std::uint64_t startOf(const Route &Split, std::uint64_t Revision,
                      std::uint64_t Seed) {
  return stableHash(fmt::format("{}/{}/{}", Seed, Revision, Split.Name));
}

} // namespace

SplitTable::SplitTable(const Snapshot &Config, std::uint64_t Seed) {
  for (const Route &Each : Config.Routes)
    if (!Each.Split.empty())
      Counters.emplace(Each.Name, std::make_unique<Counter>(
                                      startOf(Each, Config.Id.Revision, Seed)));
}

const std::string &SplitTable::pick(const Route &Matched) const {
  const auto Found = Counters.find(Matched.Name);
  if (Found == Counters.end())
    return Matched.Service;
  return serviceAt(Matched, fraction(Found->second->fetch_add(GoldenStep)));
}

const std::string &serviceAt(const Route &Split, double Point) {
  const double Total = std::accumulate(
      Split.Split.begin(), Split.Split.end(), 0.0,
      [](double Sum, const SplitPart &Part) { return Sum + Part.Weight; });
  double Remaining = Point * Total;
  const SplitPart *Last = nullptr;
  for (const SplitPart &Part : Split.Split) {
    if (Part.Weight == 0)
      continue;
    Last = &Part;
    if (Remaining < Part.Weight)
      break;
    Remaining -= Part.Weight;
  }
  return Last->Service;
}

} // namespace fescuewood
