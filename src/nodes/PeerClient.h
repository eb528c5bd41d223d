/// \file
/// Client that sends requests to other nodes over a bounded set of connections.
///
/// \ref PeerClient::send implements the \ref PeerSend hook: it never blocks,
/// never sends a request twice, and calls the reply hook exactly once. A
/// connection with pending requests on which no byte arrives is probed with a
/// heartbeat and dropped when none arrives after that either; later requests
/// use a new connection.

#ifndef FESCUEWOOD_NODES_PEERCLIENT_H
#define FESCUEWOOD_NODES_PEERCLIENT_H

#include "core/Clock.h"
#include "nodes/PeerLink.h"
#include "nodes/PeerTransport.h"

#include <cstddef>
#include <memory>

namespace fescuewood {

struct PeerClientOptions {
  std::size_t MaxConnections = 256; ///< Above it the least recently used
                                    ///< idle one is closed.
  std::size_t MaxInFlight = 8192;   ///< Requests without a reply yet.
  DurationMs ConnectTimeout{250};   ///< Afterwards PeerUnreachable.
  DurationMs HeartbeatAfter{400};   ///< Silence before a heartbeat.
  DurationMs SilenceLimit{1200};    ///< Silence before a drop.
  DurationMs IdleLimit{120 * 1000}; ///< Unused connections are closed.
};

/// The client side of the transport. Thread-safe.
class PeerClient {
public:
  explicit PeerClient(PeerLink &Link, PeerClientOptions Options = {});
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Sends a request; see \ref PeerSend. A local refusal, such as PeerBusy or
  /// PeerMessageTooLarge, is also reported through the hook, on the client's
  /// thread.
  void send(const PeerRequest &Request, const PeerReplyHook &OnReply);

  /// Returns \ref send as a hook; this client must outlive it.
  PeerSend sendHook();

  /// Ends every pending request with ResultCode::Stopped and closes all
  /// connections. Must not be called from a reply hook.
  void stop();

  /// Number of open connections, including those being closed.
  std::size_t connections() const;

private:
  class Core;

  std::unique_ptr<Core> Implementation;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERCLIENT_H
