/// \file
/// Client side of reading the platform's store through another node.

#ifndef FESCUEWOOD_NODES_RELAYCLIENT_H
#define FESCUEWOOD_NODES_RELAYCLIENT_H

#include "core/Clock.h"
#include "nodes/PeerTransport.h"
#include "sources/StoreChange.h"

#include <memory>
#include <string>

namespace fescuewood {

/// Time beyond its wait after which a read has failed.
inline constexpr DurationMs RelayTimeout{550};

/// Reads through other nodes, one read at a time. \ref cancel may be called
/// from any thread.
class RelayClient {
public:
  explicit RelayClient(PeerSend Send, Clock Time = Clock::monotonic());

  /// Blocks until the node answers, the read times out or is cancelled.
  PlatformRead<RelayedChanges> read(const std::string &Address,
                                    std::uint64_t AfterRevision,
                                    DurationMs Wait);

  /// Makes a blocked read and all later ones return with
  /// ResultCode::Stopped.
  void cancel();

private:
  struct State;

  PeerSend Send;
  Clock Time;
  std::shared_ptr<State> Shared; ///< Also held by the reply hooks.
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_RELAYCLIENT_H
