/// \file
/// Receives the messages of other nodes and sends the replies.
///
/// Register a handler for each kind with \ref PeerServer::handle, then
/// \ref PeerServer::start. A handler may keep its reply hook and call it later
/// from any thread. Messages that are malformed, foreign or of an unknown kind
/// never reach a handler; they are counted and reported as an event.

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
  std::string Address;            ///< "IP:port"; port 0 takes a free one.
  std::size_t MaxInFlight = 4096; ///< Requests whose reply is still open.
  std::size_t MaxConnections = 4096;
};

/// The listening end of the transport.
class PeerServer {
public:
  PeerServer(PeerLink &Link, PeerServerOptions Options);
  ~PeerServer();
  PeerServer(const PeerServer &) = delete;
  PeerServer &operator=(const PeerServer &) = delete;

  /// Sets the handler of a kind; only before \ref start.
  void handle(PeerKind Kind, PeerHandler Handler);

  /// Binds and receives. Returns the bound "IP:port", or nothing
  /// (ResultCode::PeerListenFailed) when the address cannot be had.
  std::optional<std::string> start();

  /// Closes all connections. Reply hooks that are still held do nothing from
  /// then on. Returns at once when already stopped; not from a handler.
  void stop();

  /// Why the last \ref start returned nothing.
  ResultCode lastReason() const { return LastReason; }

private:
  class Core;

  // Shared with the reply hooks that are still held when the server stops.
  std::shared_ptr<Core> Shared;
  ResultCode LastReason = ResultCode::Ok;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERSERVER_H
