/// \file
/// One account of what a node holds for the clients of its listeners, and the
/// choice of the connection that is closed when the account is exhausted.
///
/// The server reports each connection, what it holds for it and what it waits
/// for. While connections or bytes exceed their limits, \ref findExcess names
/// connections to close, one after the other. The load that it answers: many
/// clients that stop partway, send or read very slowly, or stay idle.

#ifndef FESCUEWOOD_POLICY_CLIENTMEMORY_H
#define FESCUEWOOD_POLICY_CLIENTMEMORY_H

#include "core/Clock.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

namespace fescuewood {

/// What a connection waits for.
enum class ClientActivity : std::uint8_t {
  Idle,    ///< For the next request.
  Sending, ///< For the rest of a request.
  Waiting, ///< For the node or a target.
  Reading, ///< For the client to read an answer.
};

/// Limits on all connections of a listener.
struct ClientLimits {
  std::size_t MaxBytes = 0;
  std::size_t MaxConnections = 0;
  /// A client stalls when it has made no progress for this time. Shorter gaps
  /// are usual on slow links, and while the node itself is busy.
  DurationMs StallTime{1000};
};

/// The limits that follow from a machine.
struct ClientResources {
  std::size_t MachineBytes = 0;   ///< Of the machine; 0 if unknown.
  double MemoryShare = 0;         ///< Part of it for clients.
  std::size_t MaxDescriptors = 0; ///< Of the process; 0 if not limited.
  std::size_t MaxConnections = 0; ///< As configured.
};

/// Clients get at most 0.6 of the descriptors that are not for files. The rest
/// is a reserve for other nodes, the target, the platform, the operators' and
/// the ready address, which clients cannot exhaust.
ClientLimits clientLimits(const ClientResources &Resources);

/// Idle time after which a connection is closed in favour of a new one. It
/// covers the time from a connection's opening to its first request.
inline constexpr DurationMs MinClientIdleTime{250};

/// Accounts for the connections of one or more listeners. Not thread-safe.
class ClientMemory {
public:
  /// Identifies a connection; later ones are greater.
  using ClientId = std::uint64_t;

  explicit ClientMemory(const ClientLimits &Limits) : Limits(Limits) {}

  /// Adds a connection, which is idle.
  /// \param Address of the client, without its port.
  ClientId open(const std::string &Address, TimeMs Now);

  void close(ClientId Id);

  /// Records what is held for a connection and what it waits for.
  /// \param Progress whether bytes were exchanged with the client.
  void update(ClientId Id, ClientActivity Activity, std::size_t Bytes,
              bool Progress, TimeMs Now);

  /// The connection to close next; std::nullopt while the limits are met or no
  /// connection may be closed.
  ///
  /// With too many bytes, these are: the stalled connection that holds most for
  /// longest; without one, a connection of the address that has most. With too
  /// many connections, the one that is idle or stalled for longest. A
  /// connection that waits for the node is never closed.
  std::optional<ClientId> findExcess(TimeMs Now) const;

  /// Whether a limit is exceeded, so that a search may find something.
  bool isExhausted() const {
    return isMemoryExhausted() || Clients.size() > Limits.MaxConnections;
  }

  bool isMemoryExhausted() const { return HeldBytes > Limits.MaxBytes; }

  std::size_t heldBytes() const { return HeldBytes; }
  std::size_t connectionCount() const { return Clients.size(); }
  const ClientLimits &limits() const { return Limits; }

private:
  struct Client {
    std::string Address;
    ClientActivity Activity = ClientActivity::Idle;
    std::size_t Bytes = 0;
    TimeMs LastProgress;
  };

  template <typename WeightOfClient>
  std::optional<ClientId> heaviest(WeightOfClient WeightOf) const;
  std::optional<ClientId> largestStalled(TimeMs Now) const;
  std::optional<ClientId> oldestOfLargestCrowd(TimeMs Now) const;
  std::optional<ClientId> longestIdle(TimeMs Now) const;

  const ClientLimits Limits;
  std::size_t HeldBytes = 0;
  ClientId LastId = 0;
  std::map<ClientId, Client> Clients;
  std::map<std::string, std::size_t> ConnectionsByAddress;
};

} // namespace fescuewood

#endif // FESCUEWOOD_POLICY_CLIENTMEMORY_H
