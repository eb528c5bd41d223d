/// \file
/// Counters of the messages and bytes between nodes, for metrics and the
/// network budget.

#ifndef FESCUEWOOD_NODES_PEERTRAFFIC_H
#define FESCUEWOOD_NODES_PEERTRAFFIC_H

#include "core/ResultCode.h"
#include "nodes/PeerTransport.h"

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace fescuewood {

/// Traffic of one message kind, requests and replies together.
struct PeerKindTraffic {
  PeerKind Kind = PeerKind::Heartbeat;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0; ///< On the wire; TCP and IP overhead estimated.
  std::uint64_t BytesReceived = 0;
};

/// Number of received messages that were refused for one reason.
struct PeerRefusals {
  ResultCode Reason = ResultCode::Ok;
  std::uint64_t Count = 0;
};

/// Estimated bytes on the wire for a sealed message: the frame header, and for
/// each TCP segment its headers and half an acknowledgement.
std::size_t wireBytes(std::size_t SealedBytes);

/// Estimated bytes on the wire to open and close one connection, in both
/// directions.
inline constexpr std::size_t ConnectionBytes = 7 * 60;

/// Monotonic counters of one process. Thread-safe and lock-free.
class PeerTraffic {
public:
  void countSent(PeerKind Kind, std::size_t SealedBytes);
  void countReceived(PeerKind Kind, std::size_t SealedBytes);
  void countRefused(ResultCode Reason);
  void countConnection() { ++Connections; }

  /// A frame waits to be written, until \ref countWritten.
  void countQueued(std::size_t Bytes);

  /// A frame was written or discarded.
  void countWritten(std::size_t Bytes);

  /// Counters of the kinds that have had traffic.
  std::vector<PeerKindTraffic> byKind() const;

  /// Counters of the reasons that have occurred.
  std::vector<PeerRefusals> refusals() const;

  /// Number of connections opened by this process.
  std::uint64_t connections() const { return Connections; }

  /// Bytes of the frames that wait to be written, in all connections.
  std::size_t queuedBytes() const { return QueuedBytes; }

  /// Number of frames that wait to be written.
  std::size_t queuedFrames() const { return QueuedFrames; }

private:
  static constexpr std::size_t KindCount = 32;
  static constexpr std::size_t ReasonCount = 100;

  struct KindCounters {
    std::atomic<std::uint64_t> MessagesSent{0};
    std::atomic<std::uint64_t> MessagesReceived{0};
    std::atomic<std::uint64_t> BytesSent{0};
    std::atomic<std::uint64_t> BytesReceived{0};
  };

  std::array<KindCounters, KindCount> Kinds;
  std::array<std::atomic<std::uint64_t>, ReasonCount> Refused{};
  std::atomic<std::uint64_t> Connections{0};
  std::atomic<std::size_t> QueuedBytes{0};
  std::atomic<std::size_t> QueuedFrames{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERTRAFFIC_H
