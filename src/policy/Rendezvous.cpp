#include "policy/Rendezvous.h"

#include "core/Digest.h"

#include <algorithm>
#include <cstdint>
#include <utility>

namespace fescuewood {

std::vector<std::string>
chooseByRendezvous(std::string_view Key,
                   std::span<const std::string_view> Names, std::size_t Count) {
  std::vector<std::pair<std::uint64_t, std::string_view>> Ranked;
  for (std::string_view Name : Names)
    Ranked.emplace_back(stableHash(std::string(Key) + '\n' + std::string(Name)),
                        Name);
  const std::size_t Chosen = std::min(Count, Ranked.size());
  std::partial_sort(Ranked.begin(),
                    Ranked.begin() + static_cast<std::ptrdiff_t>(Chosen),
                    Ranked.end(), std::greater<>());
  std::vector<std::string> Result;
  for (std::size_t I = 0; I < Chosen; ++I)
    Result.emplace_back(Ranked[I].second);
  return Result;
}

} // namespace fescuewood
