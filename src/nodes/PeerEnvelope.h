/// \file
/// The wire format of every message between nodes: who sent it, when, what it
/// asks for, and a seal under the fleet secret.
///
/// \ref sealEnvelope makes the bytes and \ref openEnvelope checks and reads
/// them. Layout: one byte of wire version; a msgpack sequence of kind, phase,
/// sender name, incarnation, hybrid stamp and body; 16 bytes of HMAC-SHA-256
/// over all before them (truncation as RFC 2104 allows). Nothing behind the
/// seal is parsed before the seal has been checked.

#ifndef FESCUEWOOD_NODES_PEERENVELOPE_H
#define FESCUEWOOD_NODES_PEERENVELOPE_H

#include "core/HybridClock.h"
#include "core/ResultCode.h"
#include "nodes/PeerTransport.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Version of the wire format that this program writes and reads.
inline constexpr std::uint8_t PeerWireVersion = 1;

/// Bytes of the truncated seal.
inline constexpr std::size_t PeerSealBytes = 16;

/// Longest name of an instance on the wire.
inline constexpr std::size_t MaxPeerNameBytes = 128;

/// Largest sealed message.
inline constexpr std::size_t MaxPeerMessageBytes = MaxPeerBodyBytes + 512;

/// Whether a message asks, answers or refuses; the number is on the wire.
enum class PeerPhase : std::uint8_t {
  Request = 0,
  Reply = 1,
  Refusal = 2, ///< The receiver has no handler for the kind; empty body.
};

/// A message outside its seal. The body is a view: of the caller's data when
/// sealing, of the received bytes when opened.
struct PeerEnvelope {
  PeerKind Kind = PeerKind::Heartbeat;
  PeerPhase Phase = PeerPhase::Request;
  PeerIdentity From;
  HybridTime Stamp;
  std::string_view Body;
};

/// The sealed bytes of a message.
std::string sealEnvelope(const PeerEnvelope &Message, std::string_view Secret);

/// Reads sealed bytes, or nothing with \p Reason set: PeerMessageTooLarge,
/// PeerMessageMalformed, PeerVersionUnknown or PeerSealInvalid. The kind is any
/// number; whether it has a handler is the receiver's matter.
std::optional<PeerEnvelope> openEnvelope(std::string_view Bytes,
                                         std::string_view Secret,
                                         ResultCode &Reason);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERENVELOPE_H
