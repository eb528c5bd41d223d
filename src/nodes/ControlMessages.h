/// \file
/// The bodies of the Exchange and Fetch messages between nodes.
///
/// An exchange carries what each side has in force, a digest of its member
/// table and a few changed member records; its size does not grow with the
/// fleet, but for the slot bits, one bit for each declared slot while a version
/// spreads. A repair asks with the digests of all buckets and is answered with
/// the records of a few that differ. A fetch carries files.

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

/// Most member records in one message; more are cut by the sender and make the
/// message malformed for the receiver.
inline constexpr std::size_t MaxMessageMembers = 4096;

/// What both sides of an exchange say.
struct ExchangeMessage {
  std::optional<Version> InForce;
  bool Starting = false; ///< It has no version yet because it has just started.
  std::uint32_t MemberCount = 0;
  std::uint64_t TableDigest = 0;
  std::uint32_t SpreadDigest = 0; ///< Of the slot bits for InForce.
  /// Time since InForce was known to be the source's newest; nothing: never.
  std::optional<DurationMs> ProofAge;
  std::vector<MemberRecord> Rumours;

  // Only in a reply:
  std::uint32_t KnownRumours = 0; ///< Bit i: the request's i-th was known.
  std::string SlotBits;           ///< When they differ, for InForce.
  bool SenderUnknown = false;     ///< The request's sender is not in the table.
};

/// Asks for the records of some buckets that differ.
struct RepairRequest {
  BucketDigests Buckets{}; ///< The sender's.
  bool AllBuckets = false; ///< Its table is far smaller: send all of them.
};

struct RepairReply {
  std::vector<MemberRecord> Members;
};

struct FetchRequest {
  Version Wanted;
  std::optional<Version> Base; ///< What the sender can apply a delta to.
};

/// Exactly one of the two is set, or none when the version is not held.
struct FetchReply {
  std::optional<IntentBundle> Whole;
  std::optional<BundleDelta> Delta;
};

std::string packExchange(const ExchangeMessage &Message);
std::string packRepair(const RepairRequest &Message);
std::string packRepairReply(const RepairReply &Message);
std::string packFetch(const FetchRequest &Message);
std::string packFetchReply(const FetchReply &Message);

/// What a message of kind Exchange asks for: exactly one is set.
struct ExchangeRequest {
  std::optional<ExchangeMessage> Exchange;
  std::optional<RepairRequest> Repair;
};

/// Each returns nothing when the body is malformed or out of bounds.
std::optional<ExchangeRequest> unpackExchangeRequest(std::string_view Body);
std::optional<ExchangeMessage> unpackExchange(std::string_view Body);
std::optional<RepairReply> unpackRepairReply(std::string_view Body);
std::optional<FetchRequest> unpackFetch(std::string_view Body);
std::optional<FetchReply> unpackFetchReply(std::string_view Body);

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_CONTROLMESSAGES_H
