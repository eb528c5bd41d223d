/// \file
/// What the server and the client of one process share: its identity, the fleet
/// secret, the hybrid clock, the counters and the event hook.

#ifndef FESCUEWOOD_NODES_PEERLINK_H
#define FESCUEWOOD_NODES_PEERLINK_H

#include "core/Event.h"
#include "core/HybridClock.h"
#include "nodes/PeerTraffic.h"
#include "nodes/PeerTransport.h"

#include <string>

namespace fescuewood {

/// One per process; outlives its \ref PeerServer and \ref PeerClient.
struct PeerLink {
  PeerIdentity Self;
  std::string Secret; ///< The fleet secret; never logged.
  EventHook OnEvent;
  HybridClock Stamps;
  PeerTraffic Traffic;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERLINK_H
