/// \file
/// Bodies of the StoreWatch messages, with which a node reads the platform's
/// store through another node.
///
/// The items of a reply are encoded once and sent to all nodes that ask from
/// the same revision; the rest of the reply differs.

#ifndef FESCUEWOOD_NODES_RELAYMESSAGES_H
#define FESCUEWOOD_NODES_RELAYMESSAGES_H

#include "core/Clock.h"
#include "sources/StoreChange.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Asks for the changes after a revision.
struct RelayRequest {
  std::uint64_t AfterRevision = 0; ///< 0 asks for all items.
  DurationMs Wait{0}; ///< Longest time until the reply without a change.
};

/// What the sender knows of the store.
struct RelayReply {
  bool Whole = false; ///< The items are all that exist.
  std::uint64_t Revision = 0;
  /// Time since the sender knew that nothing newer existed; std::nullopt if it
  /// cannot tell, and the reply then has no items.
  std::optional<DurationMs> ProofAge;
  DurationMs Held{0}; ///< Time from the arrival of the request to this reply.
  std::string Items;  ///< Encoded by \ref packItems.
};

/// Longest key or name of an item in a message, in bytes.
inline constexpr std::size_t MaxItemNameBytes = 256;

std::string packItems(const std::vector<StoreChange> &Items);
std::string packRelayRequest(const RelayRequest &Message);
std::string packRelayReply(const RelayReply &Message);

/// Each returns std::nullopt when the body is malformed or out of bounds.
std::optional<std::vector<StoreChange>> unpackItems(std::string_view Body);
std::optional<RelayRequest> unpackRelayRequest(std::string_view Body);
std::optional<RelayReply> unpackRelayReply(std::string_view Body);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_RELAYMESSAGES_H
