/// \file
/// Fleets of the rate benchmark.

#ifndef FESCUEWOOD_BENCH_RATEFLEETSIZES_H
#define FESCUEWOOD_BENCH_RATEFLEETSIZES_H

#include <cstdint>
#include <fmt/format.h>
#include <string>
#include <vector>

namespace fescuewood::bench {

struct DomainSize {
  std::string Name;
  std::string Region;
  std::uint32_t Nodes = 0;
};

/// A fleet by its failure domains.
struct FleetSize {
  std::string Name;
  std::vector<DomainSize> Domains;

  std::uint32_t nodes() const {
    std::uint32_t Sum = 0;
    for (const DomainSize &D : Domains)
      Sum += D.Nodes;
    return Sum;
  }
};

/// The fleet of a name, or of a number of nodes.
inline FleetSize sizeOf(const std::string &Name) {
  if (Name == "teiknibas")
    return {Name, {{"market", "r", 4}, {"harbour", "r", 4}, {"quay", "r", 4}}};
  if (Name == "secretaria") {
    return {Name,
            {{"caruaru", "r", 5},
             {"garanhuns", "r", 4},
             {"arcoverde", "r", 4},
             {"recife", "r", 4}}};
  }
  const auto Nodes = static_cast<std::uint32_t>(std::stoul(Name));
  FleetSize Size{Name, {}};
  constexpr std::uint32_t Domains = 5;
  for (std::uint32_t D = 0; D < Domains; ++D) {
    const std::uint32_t Part = Nodes * (D + 1) / Domains - Nodes * D / Domains;
    Size.Domains.push_back(
        {fmt::format("domain-{}", D), D < 3 ? "east" : "west", Part});
  }
  return Size;
}

} // namespace fescuewood::bench

#endif // FESCUEWOOD_BENCH_RATEFLEETSIZES_H
