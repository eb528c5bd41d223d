/// \file
/// Packs and unpacks the bodies of messages between nodes with msgpack.
///
/// A message struct lists its fields with MSGPACK_DEFINE. Unpacking never
/// throws and reserves no more than the bytes at hand can hold.

#ifndef FESCUEWOOD_NODES_PEERCODEC_H
#define FESCUEWOOD_NODES_PEERCODEC_H

#include <msgpack.hpp>

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Deepest nesting of a message body.
inline constexpr std::size_t MaxPeerBodyDepth = 12;

/// The body of a message.
template <typename T> std::string packBody(const T &Message) {
  msgpack::sbuffer Buffer;
  msgpack::pack(Buffer, Message);
  return {Buffer.data(), Buffer.size()};
}

/// Reads a body, or nothing when it is not a T; nothing may follow it.
template <typename T> std::optional<T> unpackBody(std::string_view Body) {
  const std::size_t Most = Body.size();
  const msgpack::unpack_limit Limits(Most, Most, Most, Most, Most,
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
