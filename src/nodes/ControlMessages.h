/// \file
/// Bodies of the Exchange and Fetch messages between nodes.
///
/// An exchange carries each side's version in force, a digest of its member
/// table and a few changed member records. Its size is independent of the fleet
/// size, except for the slot bits: one per declared slot while a version is
/// being rolled out. A repair request carries the digests of all buckets; its
/// reply carries records from buckets that differ. A fetch carries files.

#ifndef FESCUEWOOD_NODES_CONTROLMESSAGES_H
#define FESCUEWOOD_NODES_CONTROLMESSAGES_H

#include "intent/BundleDelta.h"
#include "intent/Snapshot.h"
#include "policy/MemberRecord.h"
#include "policy/Membership.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace fescuewood {

/// Maximum number of member records in one message. The sender omits further
/// records; the receiver rejects a message with more.
inline constexpr std::size_t MaxMessageMembers = 4096;

/// Request and reply of an exchange.
struct ExchangeMessage {
  std::optional<Version> InForce;
  bool Starting = false; ///< Sender is still in its start phase.
  std::uint32_t MemberCount = 0;
  std::uint64_t TableDigest = 0;
  std::uint32_t SpreadDigest = 0; ///< Digest of the slot bits for InForce.
  /// Time since InForce was known to be the newest of the source; std::nullopt
  /// if never.
  std::optional<DurationMs> ProofAge;
  std::vector<MemberRecord> Rumours;

  // Only in a reply:
  std::uint32_t KnownRumours = 0; ///< Bit i: request's rumour i was known.
  std::string SlotBits;           ///< For InForce; empty if equal.
  bool SenderUnknown = false;     ///< Requester not in the table.
};

/// Asks for records from the buckets that differ.
struct RepairRequest {
  BucketDigests Buckets{}; ///< Digests of the sender.
  bool AllBuckets = false; ///< Send all differing records.
};

/// Records from buckets that differ.
struct RepairReply {
  std::vector<MemberRecord> Members;
};

/// Asks for a version that is at least as new as Wanted.
struct FetchRequest {
  Version Wanted;
  std::optional<Version> Base; ///< Base that the sender has for a delta.
};

/// The version in force, whole or as a delta; both are unset if it is older
/// than the one wanted.
struct FetchReply {
  std::optional<IntentBundle> Whole;
  std::optional<BundleDelta> Delta;
};

std::string packExchange(const ExchangeMessage &Message);
std::string packRepair(const RepairRequest &Message);
std::string packRepairReply(const RepairReply &Message);
std::string packFetch(const FetchRequest &Message);
std::string packFetchReply(const FetchReply &Message);

/// Content of a request of kind Exchange: exactly one is set.
struct ExchangeRequest {
  std::optional<ExchangeMessage> Exchange;
  std::optional<RepairRequest> Repair;
};

/// Each returns std::nullopt when the body is malformed or out of bounds.
std::optional<ExchangeRequest> unpackExchangeRequest(std::string_view Body);
std::optional<ExchangeMessage> unpackExchange(std::string_view Body);
std::optional<RepairReply> unpackRepairReply(std::string_view Body);
std::optional<FetchRequest> unpackFetch(std::string_view Body);
std::optional<FetchReply> unpackFetchReply(std::string_view Body);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLMESSAGES_H
