/// \file
/// Encoder and decoder for the bodies of messages between nodes, in msgpack.
///
/// A message struct lists its fields with MSGPACK_DEFINE. Unpacking does not
/// throw on malformed input, and the size of the input bounds the elements for
/// which it reserves memory.

#ifndef FESCUEWOOD_NODES_PEERCODEC_H
#define FESCUEWOOD_NODES_PEERCODEC_H

#include <msgpack.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Maximum nesting depth of a message body.
inline constexpr std::size_t MaxPeerBodyDepth = 12;

/// Encodes a message as a body.
template <typename T> std::string packBody(const T &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return {Buffer.data(), Buffer.size()};
}

/// Decodes a body. Returns std::nullopt when it is not a T or is followed by
/// other bytes.
template <typename T> std::optional<T> unpackBody(std::string_view Body) {
  const std::size_t MaxElements = Body.size();
  const msgpack::unpack_limit Limits(MaxElements, MaxElements, MaxElements,
                                     MaxElements, MaxElements,
                                     MaxPeerBodyDepth);
  try {
    std::size_t Offset = 0;
    const msgpack::object_handle Handle = msgpack::unpack(
        Body.data(), Body.size(), Offset, nullptr, nullptr, Limits);
    if (Offset != Body.size())
      return std::nullopt;
    return Handle->as<T>();
  } catch (const msgpack::unpack_error &) {
    return std::nullopt;
  } catch (const msgpack::type_error &) {
    return std::nullopt;
  }
}

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERCODEC_H
