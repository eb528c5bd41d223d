/// \file
/// What the server and the client of one process share: its identity, the fleet
/// secret, the hybrid clock, the counters and the event hook.

#ifndef FESCUEWOOD_NODES_PEERLINK_H
#define FESCUEWOOD_NODES_PEERLINK_H

#include "core/Event.h"
#include "core/HybridClock.h"
#include "nodes/PeerEnvelope.h"
#include "nodes/PeerTraffic.h"
#include "nodes/PeerTransport.h"

#include <atomic>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// One per process; outlives its \ref PeerServer and \ref PeerClient.
struct PeerLink {
  PeerIdentity Self;
  std::string Secret; ///< The fleet secret; never logged.
  EventHook OnEvent;
  HybridClock StampClock;
  PeerTraffic Traffic;
  std::atomic<std::int64_t> NextRefusalReport{0};
  std::string SourceIp = {}; ///< Connections come from here; empty for any.

  /// Seals an own message and counts its bytes.
  std::string seal(PeerKind Kind, PeerPhase Phase, std::string_view Body);

  /// Opens a received message, counts its bytes and merges its stamp. Returns
  /// nothing with \p Reason set when it was refused; the refusal has been
  /// counted and reported then.
  std::optional<PeerEnvelope> open(std::string_view Bytes,
                                   std::string_view Sender, ResultCode &Reason);

  /// Counts a refused message and reports it, at most once a second: a stray
  /// process must not flood the log.
  void refuse(ResultCode Reason, std::string_view Sender);
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERLINK_H
