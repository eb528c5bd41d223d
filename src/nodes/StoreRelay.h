/// \file
/// Server side of reading the platform's store through another node.
///
/// The owner reports what this node has read (\ref StoreRelay::update). A node
/// that asks gets what has changed, or else waits until this node has read the
/// store again, so that each reading reaches the others at once. Every reply
/// states how old its proof is: this node may itself read through another.

#ifndef FESCUEWOOD_NODES_STORERELAY_H
#define FESCUEWOOD_NODES_STORERELAY_H

#include "core/Clock.h"
#include "nodes/PeerTransport.h"
#include "nodes/RelayMessages.h"
#include "sources/StoreReplica.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Requests that wait at the same time, at most; further ones are answered at
/// once.
inline constexpr std::size_t MaxWaitingReads = 1024;

/// Answers reads of other nodes. Not thread-safe.
class StoreRelay {
public:
  explicit StoreRelay(Clock Time) : Time(std::move(Time)) {}

  /// Handles what this node has read, and answers the requests that wait.
  void update(const ReplicaUpdate &Update);

  /// The store has become unreachable: the requests that wait are answered
  /// without a proof, and later ones too until the next \ref update with one.
  void onSourceLost();

  /// Handles a request; a malformed one gets an empty reply.
  void serve(std::string_view Body, ReplyHook Reply);

  /// Answers the requests that have waited long enough.
  void tick();

private:
  struct WaitingRead {
    RelayRequest Request;
    TimeMs ArrivedAt;
    ReplyHook Reply;
  };

  bool hasNews(const RelayRequest &Request) const;
  void answer(const WaitingRead &Read);
  void answerAll();
  void fill(RelayReply &Message, std::uint64_t After);

  Clock Time;
  StoreReplica Replica;
  std::optional<TimeMs> ProvenAt; ///< Unset while the store is unreachable.
  std::vector<WaitingRead> Waiting;

  /// The last encoded items, which most requests share.
  struct EncodedItems {
    std::uint64_t After = 0;
    bool Whole = false;
    std::string Bytes;
  };
  std::optional<EncodedItems> Encoded;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_STORERELAY_H
