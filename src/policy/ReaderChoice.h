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

/// Nodes of a domain that each further reader serves.
inline constexpr std::size_t NodesPerReader = 20;

/// Number of readers of a domain with \p Nodes nodes, at least \p Least:
/// several so that the loss of one costs nothing, and more in a large domain,
/// which they relay to.
std::size_t readerCount(std::size_t Nodes, std::size_t Least);

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_READERCHOICE_H
