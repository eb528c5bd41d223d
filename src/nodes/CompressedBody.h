/// \file
/// Encoder and decoder for bodies of messages between nodes that are compressed
/// when that makes them smaller.

#ifndef FESCUEWOOD_NODES_COMPRESSEDBODY_H
#define FESCUEWOOD_NODES_COMPRESSEDBODY_H

#include "core/Compress.h"
#include "nodes/PeerCodec.h"
#include "nodes/PeerTransport.h"

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Smallest body that is compressed, in bytes; compressing less saves little.
inline constexpr std::size_t MinCompressedBytes = 256;

/// First byte of a compressed body; no msgpack value starts with it.
inline constexpr char CompressedMarker = '\xC1';

/// Encodes a message as \ref packBody does, compressed if that is smaller.
template <typename T> std::string packCompressed(const T &Message) {
  std::string Plain = packBody(Message);
  if (Plain.size() < MinCompressedBytes)
    return Plain;
  std::string Compact = CompressedMarker + compress(Plain);
  return Compact.size() < Plain.size() ? Compact : Plain;
}

/// Decodes the output of \ref packCompressed. Returns std::nullopt when it is
/// malformed or too large.
template <typename T> std::optional<T> unpackCompressed(std::string_view Body) {
  if (Body.empty() || Body.front() != CompressedMarker)
    return unpackBody<T>(Body);
  const auto Plain = decompress(Body.substr(1), MaxPeerBodyBytes);
  return Plain ? unpackBody<T>(*Plain) : std::nullopt;
}

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_COMPRESSEDBODY_H
