#include "policy/ReaderChoice.h"

#include "policy/Rendezvous.h"

namespace fescuewood {

std::vector<std::string> chooseReaders(std::string_view Domain,
                                       std::span<const std::string_view> Names,
                                       std::size_t Count) {
  return chooseByRendezvous(Domain, Names, Count);
}

std::size_t readerCount(std::size_t Nodes, std::size_t Least) {
  return Least + Nodes / NodesPerReader;
}

} // namespace fescuewood
