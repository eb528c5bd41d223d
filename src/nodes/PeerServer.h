/// \file
/// Server that receives requests of other nodes and sends the replies.
///
/// Register a handler for each kind with \ref PeerServer::handle, then call
/// \ref PeerServer::start. A handler may keep its reply hook and call it later
/// from any thread. Messages that are malformed, sealed with another secret or
/// of an unknown kind never reach a handler; they are counted and reported as
/// an event.

#ifndef FESCUEWOOD_NODES_PEERSERVER_H
#define FESCUEWOOD_NODES_PEERSERVER_H

#include "nodes/PeerLink.h"
#include "nodes/PeerTransport.h"

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

namespace fescuewood {

struct PeerServerOptions {
  std::string Address;            ///< "IP:port"; port 0 selects a free one.
  std::size_t MaxInFlight = 4096; ///< Requests without a reply yet.
  std::size_t MaxConnections = 4096;
  /// Bytes that wait to be written to other nodes, in all connections; above it
  /// a connection is read only while none wait on it.
  std::size_t MaxQueuedBytes = 8 << 20;
  /// Limit on the large messages that are being received, beside the oldest
  /// one.
  std::size_t MaxReceivingBytes = 8 << 20;
  DurationMs LargeMessageTime{10'000}; ///< As in PeerReceiving.
};

/// The server side of the transport.
class PeerServer {
public:
  PeerServer(PeerLink &Link, PeerServerOptions Options);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Sets the handler of a kind. Must be called before \ref start.
  void handle(PeerKind Kind, PeerHandler Handler);

  /// Binds and starts to receive. Returns the bound "IP:port", or std::nullopt
  /// (ResultCode::PeerListenFailed) when binding fails.
  std::optional<std::string> start();

  /// Closes all connections. Reply hooks that are still held have no effect
  /// from then on. Returns at once when already stopped. Must not be called
  /// from a handler.
  void stop();

  /// Reason for the failure of the last \ref start.
  ResultCode lastReason() const { return LastReason; }

private:
  class Core;

  // Shared with reply hooks, which can outlive the server.
  std::shared_ptr<Core> Implementation;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERSERVER_H
