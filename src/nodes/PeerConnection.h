/// \file
/// Client connection to one other node, with its pending requests.
///
/// Internal to \ref PeerClient, and for its loop's thread only. Many requests
/// can be pending at once, and their replies may arrive in any order. No
/// request is ever sent twice: when the connection ends its requests fail, and
/// only those that were not yet handed to the system are reported as never
/// sent.

#ifndef FESCUEWOOD_NODES_PEERCONNECTION_H
#define FESCUEWOOD_NODES_PEERCONNECTION_H

#include "core/Clock.h"
#include "core/Event.h"
#include "nodes/PeerLink.h"
#include "nodes/PeerStream.h"
#include "nodes/PeerTransport.h"

#include <asio/ip/tcp.hpp>
#include <asio/steady_timer.hpp>

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace fescuewood {

/// State of a connection, which decides what the client does with it.
enum class PeerHealth : std::uint8_t {
  Healthy,
  NeedsHeartbeat, ///< Silent while requests are pending.
  Silent,         ///< Silent past the limit; to be dropped.
  Disconnected,   ///< Not connected for longer than the limit.
};

struct PeerConnectionLimits {
  DurationMs ConnectTimeout{0};
  DurationMs HeartbeatAfter{0};
  DurationMs SilenceLimit{0};
};

/// A request whose message was sealed by the calling thread.
struct SealedRequest {
  PeerKind Kind = PeerKind::Heartbeat;
  DurationMs Timeout{0};
  std::string Bytes;
  PeerReplyHook OnReply;
};

/// A connection to one address. Pending Asio operations share its ownership.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  /// \param Route of the request that the connection is opened for.
  /// \param InFlight number of pending requests of all connections.
  /// \param Receiving memory for large replies of all connections.
  PeerConnection(asio::io_context &Context, PeerLink &Link,
                 PeerConnectionLimits Limits, std::string Address,
                 PeerRoute Route, std::atomic<std::size_t> &InFlight,
                 PeerReceiving &Receiving);

  /// Starts to connect. Returns false when the address is malformed.
  bool open();

  /// Sends a request, at once or as soon as the connection is established. The
  /// hook is not called inside this function, unless the peer has been
  /// unreachable for longer than the connect timeout.
  void send(SealedRequest Request);

  /// Sends a heartbeat. Its reply only shows that the connection is alive.
  void sendHeartbeat();

  /// Counts bytes that reach the other machine as a sign of life until they
  /// include the heartbeat; to be called before \ref health.
  void observeDelivery();

  /// Closes the connection permanently; requests already sent end with
  /// \p Reason. Unsent ones end with PeerUnreachable, or with Stopped if that
  /// is the reason.
  void close(ResultCode Reason);

  PeerHealth health() const;

  /// Fields of an event about this connection: what is pending and what has
  /// been received.
  std::vector<EventField> eventFields() const;

  /// Whether the connection was opened for a fresh route, too short a time ago
  /// for a heartbeat.
  bool isFresh() const;

  const std::string &address() const { return Address; }
  TimeMs lastUsed() const { return LastUsed; }

  /// Number of pending requests, including heartbeats.
  std::size_t inFlight() const { return Pending.size(); }

private:
  struct Request {
    PeerKind Kind = PeerKind::Heartbeat;
    TimeMs Deadline;
    bool Sent = false;
    std::uint64_t ReceivedBefore = 0; ///< Bytes received when it was sent.
    PeerReplyHook OnReply;
    asio::steady_timer Timer;
  };

  void connect();
  void bindSourceAddress();
  void onConnected(asio::error_code Error);
  void scheduleReconnect();
  void onBytes(std::size_t Bytes);
  bool onFrame(std::uint32_t Number, std::string_view Sealed);
  void onDisconnected();
  void armTimer(std::uint32_t Number, Request &Entry, DurationMs Delay);
  void onTimer(std::uint32_t Number);
  bool markSent(std::uint32_t Number);
  void finish(std::uint32_t Number, PeerReply Reply);
  void failAll(ResultCode UnsentReason, ResultCode SentReason);
  PeerReply readReply(PeerKind Kind, std::string_view Sealed);
  PeerStreamHooks streamHooks();
  void onActivity();

  PeerLink &Link;
  const PeerConnectionLimits Limits;
  const std::string Address;
  const PeerRoute Route;
  std::atomic<std::size_t> &InFlight;
  PeerReceiving &Receiving;
  const Clock Monotonic = Clock::monotonic();
  const TimeMs OpenedAt = Monotonic.now();

  asio::ip::tcp::endpoint Remote;
  asio::ip::tcp::socket Connecting; ///< Moved to the stream.
  asio::steady_timer ConnectTimer;  ///< Limits an attempt or delays the next.
  DurationMs ReconnectDelay;
  PeerStreamPtr Stream; ///< Set while connected.
  bool Closed = false;

  TimeMs DisconnectedSince;              ///< Valid while not connected.
  std::optional<TimeMs> SilentSince;     ///< Sent, no byte received since.
  std::optional<TimeMs> HeartbeatSentAt; ///< Or a byte before it delivered.
  std::uint64_t DeliveredBytes = 0;      ///< Most that was observed.
  /// Bytes taken for writing before the heartbeat; unset until it is.
  std::optional<std::uint64_t> BytesBeforeHeartbeat;
  std::uint64_t ReceivedBytes = 0;
  TimeMs LastBytesAt; ///< Or when the connection was established.
  TimeMs LastUsed;

  std::uint32_t LastNumber = 0;
  std::map<std::uint32_t, Request> Pending; ///< By request number.
  /// Sealed requests to send once connected, in order.
  std::vector<std::pair<std::uint32_t, std::string>> Unsent;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERCONNECTION_H
