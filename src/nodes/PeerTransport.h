/// \file
/// How a node asks another node and answers when asked.
///
/// A package that talks to other nodes registers a \ref PeerHandler for its
/// message kinds and sends with a \ref PeerSend hook. The transport seals each
/// message with the fleet secret, stamps it, bounds its size and counts its
/// bytes; the body is the package's own, in msgpack.

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

/// What a message asks for; the number is on the wire.
enum class PeerKind : std::uint8_t {
  Heartbeat = 0,  ///< Asks whether the connection lives; the server answers.
  Exchange = 1,   ///< Versions and membership.
  Fetch = 2,      ///< The files of a version.
  CallStart = 10, ///< Run a call.
  CallFetch = 11, ///< What became of a call, and its answer.
  CallCancel = 12,
  Tokens = 20, ///< Leases and transfers of rate tokens.
};

/// Largest body of a message in either direction.
inline constexpr std::size_t MaxPeerBodyBytes = 2 * 1024 * 1024;

/// Who sent a message, after its seal was checked.
struct PeerIdentity {
  std::string Name; ///< The instance's name.
  std::uint64_t Incarnation = 0;
};

/// Sends the one reply to a message; may be called later and on any thread.
using ReplyHook = std::function<void(std::string Body)>;

/// Handles one kind of message. Runs on a transport thread; must not block.
using PeerHandler = std::function<void(const PeerIdentity &From,
                                       std::string_view Body, ReplyHook Reply)>;

/// The reply to a request, or nothing with the reason.
struct PeerReply {
  std::optional<std::string> Body;
  PeerIdentity From; ///< Set when Body is.
  ResultCode Reason = ResultCode::Ok;
};

/// True when a request that failed for this reason never left the process, so
/// the other node cannot have seen it. After any other reason it may have.
bool neverSent(ResultCode Reason);

/// Called exactly once per request, on a transport thread.
using PeerReplyHook = std::function<void(PeerReply)>;

/// Which connection a request may use.
enum class PeerRoute : std::uint8_t {
  Reuse, ///< An open one when there is one.
  Fresh, ///< A new one, for when an open one may have gone silent.
};

/// A request to another node.
struct PeerRequest {
  std::string Address; ///< "IP:port".
  PeerKind Kind = PeerKind::Exchange;
  std::string Body;
  DurationMs Timeout{1000};
  PeerRoute Route = PeerRoute::Reuse;
};

/// Sends a request from any thread; never blocks and never sends it twice.
using PeerSend = std::function<void(PeerRequest, PeerReplyHook)>;

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERTRANSPORT_H
