/// \file
/// Choice of the nodes of a failure domain that read the platform.

#ifndef FESCUEWOOD_POLICY_READERCHOICE_H
#define FESCUEWOOD_POLICY_READERCHOICE_H

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Chooses \p Count names by rendezvous hashing, see \ref chooseByRendezvous.
/// While views differ, there may be too many or too few readers; the read
/// allowance bounds the reads, and gossip makes up for missing readers.
/// \param Names members of the domain that can read, without duplicates.
std::vector<std::string> chooseReaders(std::string_view Domain,
                                       std::span<const std::string_view> Names,
                                       std::size_t Count);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_READERCHOICE_H
