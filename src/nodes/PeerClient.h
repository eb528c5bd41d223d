/// \file
/// Sends messages to other nodes over a bounded set of open connections.
///
/// \ref PeerClient::send implements the PeerSend hook: it never blocks, never
/// sends a message twice, and calls the reply hook exactly once. A connection
/// on which requests wait while nothing arrives is probed with a heartbeat and
/// dropped when that stays unanswered too; later requests use a new one.

#ifndef FESCUEWOOD_NODES_PEERCLIENT_H
#define FESCUEWOOD_NODES_PEERCLIENT_H

#include "core/Clock.h"
#include "nodes/PeerLink.h"
#include "nodes/PeerTransport.h"

#include <cstddef>
#include <memory>

namespace fescuewood {

struct PeerClientOptions {
  std::size_t MaxConnections = 256; ///< Beyond it the idlest one is closed.
  std::size_t MaxInFlight = 8192;   ///< Requests that wait for a reply.
  DurationMs ConnectTimeout{250};   ///< Then PeerUnreachable.
  DurationMs HeartbeatAfter{400};   ///< Quiet time before a heartbeat.
  DurationMs SilenceLimit{1200};    ///< Quiet time before the drop.
  DurationMs IdleLimit{120 * 1000}; ///< Unused connections are closed.
};

/// The asking end of the transport. Thread-safe.
class PeerClient {
public:
  explicit PeerClient(PeerLink &Link, PeerClientOptions Options = {});
  ~PeerClient();
  PeerClient(const PeerClient &) = delete;
  PeerClient &operator=(const PeerClient &) = delete;

  /// Sends a request; see PeerSend. A refusal that needs no network, such as
  /// PeerBusy or PeerMessageTooLarge, also comes through the hook, on a thread
  /// of the client.
  void send(const PeerRequest &Request, const PeerReplyHook &OnReply);

  /// \ref send as a hook; this client must outlive it.
  PeerSend hook();

  /// Ends every open request with ResultCode::Stopped and closes all
  /// connections. Not from a reply hook.
  void stop();

  /// Open connections, those being closed included.
  std::size_t connections() const;

private:
  class Core;

  std::unique_ptr<Core> Own;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERCLIENT_H
