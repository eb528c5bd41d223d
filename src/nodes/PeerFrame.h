/// \file
/// The bytes of a frame between nodes: a header and a sealed message.
///
/// The header is 8 bytes: the length of the sealed message and the number of
/// the request that it belongs to, 4 bytes each, most significant first. A
/// reply carries the number of its request, so that many requests may wait on
/// one connection and their replies may cross.

#ifndef FESCUEWOOD_NODES_PEERFRAME_H
#define FESCUEWOOD_NODES_PEERFRAME_H

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

namespace fescuewood {

inline constexpr std::size_t PeerFrameHeaderBytes = 8;

struct PeerFrameHeader {
  std::size_t Size = 0;     ///< Of the sealed message, in bytes.
  std::uint32_t Number = 0; ///< Of the request, per connection.
};

/// The header's bytes; the size must fit in 4 of them.
std::string packFrameHeader(const PeerFrameHeader &Header);

/// Reads a header from at least \ref PeerFrameHeaderBytes bytes. The size is
/// whatever the other end claims.
PeerFrameHeader readFrameHeader(std::string_view Bytes);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERFRAME_H
