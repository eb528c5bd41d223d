/// \file
/// Request-reply transport between nodes: message kinds and hooks.
///
/// A package registers a \ref PeerHandler for each of its message kinds and
/// sends requests with a \ref PeerSend hook. The transport seals each message
/// with the fleet secret, adds a time stamp, bounds its size and counts its
/// bytes. The package defines the body, in msgpack.

#ifndef FESCUEWOOD_NODES_PEERTRANSPORT_H
#define FESCUEWOOD_NODES_PEERTRANSPORT_H

#include "core/Clock.h"
#include "core/ResultCode.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace fescuewood {

/// Kind of a message. The numbers are part of the wire format.
enum class PeerKind : std::uint8_t {
  Heartbeat = 0,  ///< Checks the connection; answered by the server.
  Exchange = 1,   ///< Exchanges versions and membership.
  Fetch = 2,      ///< Fetches the files of a version.
  StoreWatch = 3, ///< Reads the platform's store through the receiver.
  CallStart = 10, ///< Starts a call.
  CallFetch = 11, ///< Fetches the state of a call and its answer.
  CallCancel = 12,
  CallBody = 13,        ///< Stages a piece of a request body.
  CallStartStaged = 14, ///< As CallStart, with a body that was staged.
  Tokens = 20,          ///< Leases and transfers of rate tokens.
};

/// Largest body of a message in either direction, in bytes.
inline constexpr std::size_t MaxPeerBodyBytes = 2 * 1024 * 1024;

/// Sender of a message, authenticated by its seal.
struct PeerIdentity {
  std::string Name; ///< Instance name.
  std::uint64_t Incarnation = 0;
};

/// Sends the reply to a request. Takes effect once; may be called later and on
/// any thread.
using ReplyHook = std::function<void(std::string Body)>;

/// Handles requests of one kind. Called on a transport thread; must not block.
using PeerHandler = std::function<void(const PeerIdentity &Sender,
                                       std::string_view Body, ReplyHook Reply)>;

/// The reply to a request, or the reason why there is none.
struct PeerReply {
  std::optional<std::string> Body;
  PeerIdentity Sender; ///< Set when Body is set.
  ResultCode Reason = ResultCode::Ok;
};

/// Whether a request that failed for this reason never left the process, so
/// that the other node cannot have received it. For any other reason it may
/// have.
bool neverSent(ResultCode Reason);

/// Called exactly once per request, on a transport thread.
using PeerReplyHook = std::function<void(PeerReply)>;

/// Connection that a request uses.
enum class PeerRoute : std::uint8_t {
  Reuse, ///< An open connection, if there is one.
  Fresh, ///< A new connection, or one that a fresh route has just opened; an
         ///< open one may be half-open.
};

/// A request to another node.
struct PeerRequest {
  std::string Address; ///< "IP:port".
  PeerKind Kind = PeerKind::Exchange;
  std::string Body;
  DurationMs Timeout{1000};
  PeerRoute Route = PeerRoute::Reuse;
};

/// Sends a request. Callable from any thread; never blocks and never sends a
/// request twice.
using PeerSend = std::function<void(PeerRequest, PeerReplyHook)>;

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERTRANSPORT_H
