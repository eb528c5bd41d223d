/// \file
/// Frame format of the connections between nodes: a header and a sealed
/// message.
///
/// The header is 8 bytes: the length of the sealed message and the number of
/// the request that it belongs to, 4 bytes each, in network byte order. A reply
/// carries the number of its request, so that many requests can be pending on
/// one connection and be answered in any order.

#ifndef FESCUEWOOD_NODES_PEERFRAME_H
#define FESCUEWOOD_NODES_PEERFRAME_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuewood {

inline constexpr std::size_t PeerFrameHeaderBytes = 8;

struct PeerFrameHeader {
  std::size_t Size = 0;     ///< Size of the sealed message, in bytes.
  std::uint32_t Number = 0; ///< Request number, unique per connection.
};

/// Encodes a header; the size must fit in 4 bytes.
std::string packFrameHeader(const PeerFrameHeader &Header);

/// Decodes a header from at least \ref PeerFrameHeaderBytes bytes. The size is
/// as the peer claims it and has to be checked.
PeerFrameHeader readFrameHeader(std::string_view Bytes);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERFRAME_H
