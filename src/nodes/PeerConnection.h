/// \file
/// One open connection to another node, with the requests that wait on it.
///
/// Internal to \ref PeerClient. Every request has a context of nng, so that
/// many wait at once and their replies may come in any order. Resending is
/// disabled: a request whose connection ends is reported, never repeated.

#ifndef FESCUEWOOD_NODES_PEERCONNECTION_H
#define FESCUEWOOD_NODES_PEERCONNECTION_H

#include "core/Clock.h"
#include "nodes/PeerLink.h"
#include "nodes/PeerMessage.h"
#include "nodes/PeerTransport.h"

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nng/nng.h>

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

/// A connection to one address. Thread-safe.
class PeerConnection {
public:
  /// \param Total counts the reserved places of all connections together.
  PeerConnection(PeerLink &Link, PeerConnectionLimits Limits,
                 std::string Address, std::atomic<std::size_t> &Total);
  ~PeerConnection();
  PeerConnection(const PeerConnection &) = delete;
  PeerConnection &operator=(const PeerConnection &) = delete;

  /// Starts to connect in the background; false when nng refuses the address.
  bool open();

  /// Takes a place for a request that \ref send follows, which keeps the
  /// connection from being destroyed. Returns false when the other end has
  /// been out of reach for longer than the connect timeout.
  bool reserve();

  /// Sends a request in a reserved place. \p OnReply is called on a thread of
  /// nng; it gives the place back when it returns.
  void send(const PeerRequest &Request, PeerReplyHook OnReply);

  /// Sends a heartbeat whose reply only counts as a sign of life.
  void sendHeartbeat();

  /// Closes the connection; requests that wait end with \p Why. Blocks a
  /// little; not from a thread of nng.
  void close(ResultCode Why);

  PeerHealth health() const;
  const std::string &address() const { return Address; }
  TimeMs lastUsed() const;

  /// Reserved places, heartbeats included.
  std::size_t inFlight() const;

private:
  struct Place {
    PeerConnection *Owner = nullptr;
    nng_ctx Context = NNG_CTX_INITIALIZER;
    OperationPtr Operation;
    bool Sent = false;
    PeerKind Kind = PeerKind::Heartbeat;
    TimeMs Deadline;
    PeerReplyHook OnReply;
  };

  static void onOperation(void *Argument);
  static void onPipe(nng_pipe Pipe, nng_pipe_ev Change, void *Argument);

  Place *takePlace();
  void completed(Place &Where);
  void receiveReply(Place &Where);
  PeerReply readReply(const Place &Where, nng_msg *Message);
  ResultCode failure(int Error, bool Sent) const;
  void finish(Place &Where, PeerReply Reply);
  void noteSent();
  void noteHeard();
  void giveBack(Place *Where);

  PeerLink &Link;
  const PeerConnectionLimits Limits;
  const std::string Address;
  std::atomic<std::size_t> &Total;
  const Clock Monotonic = Clock::monotonic();
  nng_socket Socket = NNG_SOCKET_INITIALIZER;

  mutable std::mutex Mutex;
  int Pipes = 0;                        ///< 1 while connected.
  TimeMs DownSince;                     ///< When not connected.
  std::optional<TimeMs> QuietSince;     ///< Sent then, nothing heard since.
  std::optional<TimeMs> HeartbeatSince; ///< A heartbeat waits since then.
  TimeMs LastUsed;
  std::size_t InFlight = 0;
  std::optional<ResultCode> CloseReason;
  std::vector<Place *> IdlePlaces;
  // Last, so that it is destroyed first: that waits for the callbacks, which
  // use the members above.
  std::vector<std::unique_ptr<Place>> Places;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERCONNECTION_H
