/// \file
/// Wire format of messages between nodes: sender, time stamp, kind, body and a
/// seal (message authentication code) under the fleet secret.
///
/// \ref sealEnvelope encodes a message; \ref openEnvelope verifies and decodes
/// it. Layout: one byte of wire version; a msgpack sequence of kind, phase,
/// sender name, incarnation, hybrid stamp and body; 16 bytes of HMAC-SHA-256
/// over all bytes before them (truncated as RFC 2104 permits). Nothing but the
/// version is read before the seal has been verified.

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

/// Size of the truncated seal, in bytes.
inline constexpr std::size_t PeerSealBytes = 16;

/// Longest instance name on the wire, in bytes.
inline constexpr std::size_t MaxPeerNameBytes = 128;

/// Largest sealed message, in bytes.
inline constexpr std::size_t MaxPeerMessageBytes = MaxPeerBodyBytes + 512;

/// Role of a message in an exchange. The numbers are part of the wire format.
enum class PeerPhase : std::uint8_t {
  Request = 0,
  Reply = 1,
  Refusal = 2, ///< The receiver has no handler for the kind; empty body.
};

/// A decoded message. The body is a view of the caller's data when sealing and
/// of the received bytes when opened.
struct PeerEnvelope {
  PeerKind Kind = PeerKind::Heartbeat;
  PeerPhase Phase = PeerPhase::Request;
  PeerIdentity Sender;
  HybridTime Stamp;
  std::string_view Body;
};

/// Encodes and seals a message.
std::string sealEnvelope(const PeerEnvelope &Message, std::string_view Secret);

/// Verifies and decodes sealed bytes. On failure returns std::nullopt and sets
/// \p Reason to PeerMessageTooLarge, PeerMessageMalformed, PeerVersionUnknown
/// or PeerSealInvalid. The kind is not checked: the receiver decides whether it
/// has a handler.
std::optional<PeerEnvelope> openEnvelope(std::string_view Bytes,
                                         std::string_view Secret,
                                         ResultCode &Reason);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERENVELOPE_H
