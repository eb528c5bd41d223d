/// \file
/// Rendezvous hashing: D. Thaler and C. Ravishankar, "Using Name-Based Mappings
/// to Increase Hit Rates", 1998.

#ifndef FESCUEWOOD_POLICY_RENDEZVOUS_H
#define FESCUEWOOD_POLICY_RENDEZVOUS_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Chooses up to \p Count of \p Names for \p Key, in order of preference. Nodes
/// that see the same names agree without messages, and a name that comes or
/// goes changes few choices.
/// \param Names without duplicates.
std::vector<std::string>
chooseByRendezvous(std::string_view Key,
                   std::span<const std::string_view> Names, std::size_t Count);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_RENDEZVOUS_H
