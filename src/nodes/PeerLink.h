/// \file
/// State shared by the peer server and client of a process: its identity, the
/// fleet secret, the hybrid clock, the counters and the event hook.

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

/// Seals, opens and counts messages. One per process; must outlive its
/// \ref PeerServer and \ref PeerClient.
struct PeerLink {
  PeerIdentity Self;
  std::string Secret; ///< The fleet secret; never logged.
  EventHook OnEvent;
  HybridClock StampClock;
  PeerTraffic Traffic;
  /// Earliest monotonic time of the next report of a refusal, in ms.
  std::atomic<std::int64_t> NextRefusalReport{0};
  std::string SourceIp = {}; ///< Source address of connections; empty for any.

  /// Seals a message from this process and counts its bytes.
  std::string seal(PeerKind Kind, PeerPhase Phase, std::string_view Body);

  /// Opens a received message, counts its bytes and merges its time stamp. A
  /// message that is refused is counted and reported; the function then returns
  /// std::nullopt and sets \p Reason.
  std::optional<PeerEnvelope> open(std::string_view Bytes,
                                   std::string_view Sender, ResultCode &Reason);

  /// Counts a refused message and reports it, at most once per second, so that
  /// a stray process cannot flood the log.
  void refuse(ResultCode Reason, std::string_view Sender);
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERLINK_H
