/// \file
/// Which nodes of a failure domain read the platform.

#ifndef FESCUEWOOD_POLICY_READERCHOICE_H
#define FESCUEWOOD_POLICY_READERCHOICE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Chooses \p Count names by rendezvous hashing (D. Thaler and C. Ravishankar,
/// "Using Name-Based Mappings to Increase Hit Rates", 1998). Nodes that see the
/// same names agree without a message; one that comes or goes moves few
/// choices. Where nodes disagree for a while a few read too many or too few,
/// which the read allowance bounds and the exchange makes up for.
/// \param Names the domain's members that can read, without duplicates.
std::vector<std::string> chooseReaders(std::string_view Domain,
                                       std::span<const std::string_view> Names,
                                       std::size_t Count);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_READERCHOICE_H
