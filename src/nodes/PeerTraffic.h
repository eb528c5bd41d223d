/// \file
/// Counts of the messages and bytes between nodes, for metrics and the budget.

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

/// Traffic of one kind in both directions, requests and replies together.
struct PeerKindTraffic {
  PeerKind Kind = PeerKind::Heartbeat;
  std::uint64_t MessagesSent = 0;
  std::uint64_t MessagesReceived = 0;
  std::uint64_t BytesSent = 0; ///< On the wire, TCP and IP estimated.
  std::uint64_t BytesReceived = 0;
};

/// Refusals of received messages for one reason.
struct PeerRefusals {
  ResultCode Reason = ResultCode::Ok;
  std::uint64_t Count = 0;
};

/// Bytes on the wire of a sealed message: framing, and for each TCP segment
/// its headers and half an acknowledgement.
std::size_t wireBytes(std::size_t SealedBytes);

/// Bytes on the wire to open and close one connection, both directions.
inline constexpr std::size_t ConnectionBytes = 7 * 60;

/// Monotonic counters of one process. Thread-safe, without locks.
class PeerTraffic {
public:
  void countSent(PeerKind Kind, std::size_t SealedBytes);
  void countReceived(PeerKind Kind, std::size_t SealedBytes);
  void countRefused(ResultCode Reason);
  void countConnection() { ++Connections; }

  /// Kinds with any traffic.
  std::vector<PeerKindTraffic> byKind() const;

  /// Reasons with any refusal.
  std::vector<PeerRefusals> refusals() const;

  /// Connections opened by this process.
  std::uint64_t connections() const { return Connections; }

private:
  static constexpr std::size_t KindCount = 32;
  static constexpr std::size_t ReasonCount = 100;

  struct Cell {
    std::atomic<std::uint64_t> MessagesSent{0};
    std::atomic<std::uint64_t> MessagesReceived{0};
    std::atomic<std::uint64_t> BytesSent{0};
    std::atomic<std::uint64_t> BytesReceived{0};
  };

  std::array<Cell, KindCount> Kinds;
  std::array<std::atomic<std::uint64_t>, ReasonCount> Refused{};
  std::atomic<std::uint64_t> Connections{0};
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_PEERTRAFFIC_H
