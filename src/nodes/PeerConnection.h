/// \file
/// The connection to one other node, with the requests that wait on it.
///
/// Internal to \ref PeerClient, and for its loop's thread only. Many requests
/// wait at once and their replies may come in any order. No request is ever
/// sent twice: one whose connection ends is reported, and only those that were
/// not handed to the system yet are reported as never sent.

#ifndef FESCUEWOOD_NODES_PEERCONNECTION_H
#define FESCUEWOOD_NODES_PEERCONNECTION_H

#include "core/Clock.h"
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

/// What the client should do about a connection.
enum class PeerHealth : std::uint8_t {
  Good,
  NeedsHeartbeat, ///< Quiet while requests wait.
  Silent,         ///< Quiet past the limit; to be dropped.
  Unconnected,    ///< No connection could be made for a while.
};

struct PeerConnectionLimits {
  DurationMs ConnectTimeout{0};
  DurationMs HeartbeatAfter{0};
  DurationMs SilenceLimit{0};
};

/// A request that has been sealed by the thread that sends it.
struct SealedRequest {
  PeerKind Kind = PeerKind::Heartbeat;
  DurationMs Timeout{0};
  std::string Bytes;
  PeerReplyHook OnReply;
};

/// A connection to one address. It shares its ownership with the operations
/// that Asio still has to end.
class PeerConnection : public std::enable_shared_from_this<PeerConnection> {
public:
  /// \param InFlight counts the waiting requests of all connections.
  PeerConnection(asio::io_context &Context, PeerLink &Link,
                 PeerConnectionLimits Limits, std::string Address,
                 std::atomic<std::size_t> &InFlight);

  /// Starts to connect; false when the address is none.
  bool open();

  /// Sends a request, at once or as soon as the connection is there. The hook
  /// is not called inside, unless the other end has been out of reach for
  /// longer than the connect timeout.
  void send(SealedRequest Request);

  /// Sends a heartbeat whose reply only counts as a sign of life.
  void sendHeartbeat();

  /// Ends the connection for good; requests that wait end with \p Why.
  void close(ResultCode Why);

  PeerHealth health() const;
  const std::string &address() const { return Address; }
  TimeMs lastUsed() const { return LastUsed; }

  /// Requests that wait, heartbeats included.
  std::size_t inFlight() const { return Waiting.size(); }

private:
  struct Request {
    PeerKind Kind = PeerKind::Heartbeat;
    TimeMs Deadline;
    bool Sent = false;
    PeerReplyHook OnReply;
    asio::steady_timer Timer;
  };

  void connect();
  void bindSource();
  void connected(asio::error_code Error);
  void connectLater();
  bool received(std::uint32_t Number, std::string_view Sealed);
  void lost();
  void armTimer(std::uint32_t Number, Request &Which, DurationMs After);
  void expired(std::uint32_t Number);
  bool markSent(std::uint32_t Number);
  void finish(std::uint32_t Number, PeerReply Reply);
  void failAll(ResultCode Unsent, ResultCode Sent);
  PeerReply readReply(PeerKind Kind, std::string_view Sealed);
  PeerStreamHooks streamHooks();
  void noteHeard();

  PeerLink &Link;
  const PeerConnectionLimits Limits;
  const std::string Address;
  std::atomic<std::size_t> &InFlight;
  const Clock Monotonic = Clock::monotonic();

  asio::ip::tcp::endpoint Remote;
  asio::ip::tcp::socket Connecting; ///< Becomes the stream's.
  asio::steady_timer ConnectTimer;  ///< Of an attempt, or until the next one.
  DurationMs NextDelay;
  PeerStreamPtr Stream; ///< Set while connected.
  bool Closed = false;

  TimeMs DownSince;                     ///< When not connected.
  std::optional<TimeMs> QuietSince;     ///< Sent then, nothing heard since.
  std::optional<TimeMs> HeartbeatSince; ///< A heartbeat waits since then.
  TimeMs LastUsed;

  std::uint32_t LastNumber = 0;
  std::map<std::uint32_t, Request> Waiting; ///< By number.
  /// Requests that wait for the connection, in order.
  std::vector<std::pair<std::uint32_t, std::string>> Unsent;
};

using PeerConnectionPtr = std::shared_ptr<PeerConnection>;

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERCONNECTION_H
