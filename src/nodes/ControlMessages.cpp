#include "nodes/ControlMessages.h"

#include "core/Endpoint.h"
#include "intent/CompileIntent.h"
#include "nodes/CompressedBody.h"
#include "nodes/PeerEnvelope.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// First field of a message of kind Exchange.
enum class ExchangeType : std::uint8_t { Exchange = 0, Repair = 1 };

// The wire structs mirror the public ones with types that msgpack can pack.
// Digests are sent as raw bytes.

struct WireVersion {
  std::uint64_t Revision = 0;
  std::string Content;
  std::uint64_t Number = 0;
  MSGPACK_DEFINE(Revision, Content, Number)
};

struct WireMember {
  std::string Name, Domain, Service, Address;
  std::uint32_t Slot = 0;
  std::uint8_t State = 0;
  std::uint8_t Health = 0;
  std::uint64_t Incarnation = 0;
  std::uint32_t Sequence = 0;
  std::uint64_t ListRevision = 0;
  bool Leaving = false;
  std::uint64_t ListIncarnation = 0;
  MSGPACK_DEFINE(Name, Domain, Service, Address, Slot, State, Health,
                 Incarnation, Sequence, ListRevision, Leaving, ListIncarnation)
};

using WireMembers = std::vector<WireMember>;
using WireVersions = std::vector<WireVersion>;

struct WireExchange {
  std::uint8_t Type = 0;
  WireVersions InForce; ///< At most one.
  bool Starting = false;
  std::uint32_t MemberCount = 0;
  std::uint64_t TableDigest = 0;
  std::uint32_t SpreadDigest = 0;
  WireMembers Rumours;
  std::uint32_t KnownRumours = 0;
  std::string SlotBits;
  bool SenderUnknown = false;
  std::vector<std::uint64_t> ProofAgeMs; ///< At most one.
  MSGPACK_DEFINE(Type, InForce, Starting, MemberCount, TableDigest,
                 SpreadDigest, Rumours, KnownRumours, SlotBits, SenderUnknown,
                 ProofAgeMs)
};

struct WireRepair {
  std::uint8_t Type = 0;
  std::string Buckets; ///< 16 bits each, little-endian.
  bool AllBuckets = false;
  MSGPACK_DEFINE(Type, Buckets, AllBuckets)
};

struct WireType {
  std::uint8_t Type = 0;
  MSGPACK_DEFINE(Type)
};

struct WireRepairReply {
  WireMembers Members;
  MSGPACK_DEFINE(Members)
};

struct WireFetch {
  WireVersion Wanted;
  WireVersions Base; ///< At most one.
  MSGPACK_DEFINE(Wanted, Base)
};

struct WireFile {
  std::string Name;
  std::string Text;
  MSGPACK_DEFINE(Name, Text)
};

struct WireFetchReply {
  std::vector<std::uint64_t> WholeRevision; ///< At most one.
  std::uint64_t WholeNumber = 0;
  WireVersions DeltaVersions; ///< Empty, or base and target.
  std::vector<WireFile> Files;
  std::vector<std::string> Removed;
  MSGPACK_DEFINE(WholeRevision, DeltaVersions, Files, Removed, WholeNumber)
};

WireVersion toWire(const Version &V) {
  return {V.Revision,
          std::string(V.Content.Bytes.begin(), V.Content.Bytes.end()),
          V.Number};
}

WireVersions toWire(const std::optional<Version> &V) {
  return V ? WireVersions{toWire(*V)} : WireVersions{};
}

std::optional<Version> fromWire(const WireVersion &Wire) {
  Version Result;
  Result.Revision = Wire.Revision;
  Result.Number = Wire.Number;
  if (Wire.Content.size() != Digest::SizeBytes)
    return std::nullopt;
  std::copy(Wire.Content.begin(), Wire.Content.end(),
            Result.Content.Bytes.begin());
  return Result;
}

/// Reads at most one version; false when the field is out of bounds.
bool readOptional(const WireVersions &Wire, std::optional<Version> &Result) {
  if (Wire.empty())
    return true;
  Result = fromWire(Wire.front());
  return Wire.size() == 1 && Result.has_value();
}

WireMember toWire(const MemberRecord &R) {
  return {R.Place.Name,
          R.Place.Domain,
          R.Place.Service,
          R.Place.PeerAddress,
          R.Place.Slot,
          static_cast<std::uint8_t>(R.Place.State),
          static_cast<std::uint8_t>(R.Order.Health),
          R.Order.Incarnation,
          R.Order.Sequence,
          R.Listing.ListRevision,
          R.Listing.Leaving,
          R.Listing.Incarnation};
}

WireMembers toWire(const std::vector<MemberRecord> &Records) {
  WireMembers Result;
  for (const MemberRecord &R : Records)
    if (Result.size() < MaxMessageMembers)
      Result.push_back(toWire(R));
  return Result;
}

bool isName(const std::string &Text) {
  return !Text.empty() && Text.size() <= MaxPeerNameBytes;
}

std::optional<MemberRecord> fromWire(const WireMember &Wire) {
  if (!isName(Wire.Name) || !isName(Wire.Domain) ||
      Wire.Service.size() > MaxPeerNameBytes ||
      !Endpoint::parse(Wire.Address) ||
      Wire.State > static_cast<std::uint8_t>(TargetState::Down) ||
      Wire.Health > static_cast<std::uint8_t>(MemberHealth::Left))
    return std::nullopt;
  MemberRecord Result;
  Result.Place = {Wire.Name,    Wire.Domain,
                  Wire.Service, Wire.Slot,
                  Wire.Address, static_cast<TargetState>(Wire.State)};
  Result.Order = {Wire.Incarnation, Wire.Sequence,
                  static_cast<MemberHealth>(Wire.Health)};
  Result.Listing = {Wire.ListRevision, Wire.Leaving, Wire.ListIncarnation};
  return Result;
}

/// Reads member records; false when one is out of bounds.
bool readMembers(const WireMembers &Wire, std::vector<MemberRecord> &Result) {
  if (Wire.size() > MaxMessageMembers)
    return false;
  for (const WireMember &Item : Wire) {
    auto Record = fromWire(Item);
    if (!Record)
      return false;
    Result.push_back(std::move(*Record));
  }
  return true;
}

std::optional<ExchangeMessage> fromWire(WireExchange Wire) {
  ExchangeMessage Result;
  if (!readOptional(Wire.InForce, Result.InForce) ||
      !readMembers(Wire.Rumours, Result.Rumours))
    return std::nullopt;
  Result.Starting = Wire.Starting;
  Result.MemberCount = Wire.MemberCount;
  Result.TableDigest = Wire.TableDigest;
  Result.SpreadDigest = Wire.SpreadDigest;
  Result.KnownRumours = Wire.KnownRumours;
  Result.SlotBits = std::move(Wire.SlotBits);
  Result.SenderUnknown = Wire.SenderUnknown;
  if (Wire.ProofAgeMs.size() > 1)
    return std::nullopt;
  if (!Wire.ProofAgeMs.empty())
    Result.ProofAge = DurationMs(static_cast<std::int64_t>(std::min(
        Wire.ProofAgeMs.front(), static_cast<std::uint64_t>(Never.Value / 2))));
  return Result;
}

std::optional<RepairRequest> fromWire(const WireRepair &Wire) {
  if (Wire.Buckets.size() != 2 * MemberBuckets)
    return std::nullopt;
  RepairRequest Result;
  Result.AllBuckets = Wire.AllBuckets;
  for (std::size_t I = 0; I < MemberBuckets; ++I) {
    const auto Low = static_cast<std::uint8_t>(Wire.Buckets[2 * I]);
    const auto High = static_cast<std::uint8_t>(Wire.Buckets[2 * I + 1]);
    Result.Buckets[I] = static_cast<std::uint16_t>(High << 8U | Low);
  }
  return Result;
}

std::vector<IntentFile> fromWire(std::vector<WireFile> Wire) {
  std::vector<IntentFile> Files;
  Files.reserve(Wire.size());
  for (WireFile &F : Wire)
    Files.push_back({std::move(F.Name), std::move(F.Text)});
  return Files;
}

std::vector<WireFile> toWire(const std::vector<IntentFile> &Files) {
  std::vector<WireFile> Wire;
  Wire.reserve(Files.size());
  for (const IntentFile &F : Files)
    Wire.push_back({F.Name, F.Text});
  return Wire;
}

} // namespace

std::string packExchange(const ExchangeMessage &Message) {
  WireExchange Wire;
  Wire.Type = static_cast<std::uint8_t>(ExchangeType::Exchange);
  Wire.InForce = toWire(Message.InForce);
  Wire.Starting = Message.Starting;
  Wire.MemberCount = Message.MemberCount;
  Wire.TableDigest = Message.TableDigest;
  Wire.SpreadDigest = Message.SpreadDigest;
  Wire.Rumours = toWire(Message.Rumours);
  Wire.KnownRumours = Message.KnownRumours;
  Wire.SlotBits = Message.SlotBits;
  Wire.SenderUnknown = Message.SenderUnknown;
  if (Message.ProofAge)
    Wire.ProofAgeMs = {static_cast<std::uint64_t>(Message.ProofAge->Value)};
  return packCompressed(Wire);
}

std::string packRepair(const RepairRequest &Message) {
  WireRepair Wire;
  Wire.Type = static_cast<std::uint8_t>(ExchangeType::Repair);
  for (std::uint16_t Bucket : Message.Buckets) {
    Wire.Buckets.push_back(static_cast<char>(Bucket & 0xFFU));
    Wire.Buckets.push_back(static_cast<char>(Bucket >> 8U));
  }
  Wire.AllBuckets = Message.AllBuckets;
  return packCompressed(Wire);
}

std::string packRepairReply(const RepairReply &Message) {
  return packCompressed(WireRepairReply{toWire(Message.Members)});
}

std::string packFetch(const FetchRequest &Message) {
  return packCompressed(
      WireFetch{toWire(Message.Wanted), toWire(Message.Base)});
}

std::string packFetchReply(const FetchReply &Message) {
  WireFetchReply Wire;
  if (Message.Whole) {
    Wire.WholeRevision.push_back(Message.Whole->Revision);
    Wire.WholeNumber = Message.Whole->Number;
    Wire.Files = toWire(Message.Whole->Files);
  } else if (Message.Delta) {
    Wire.DeltaVersions = {toWire(Message.Delta->Base),
                          toWire(Message.Delta->Target)};
    Wire.Files = toWire(Message.Delta->Changed);
    Wire.Removed = Message.Delta->Removed;
  }
  return packCompressed(Wire);
}

std::optional<ExchangeRequest> unpackExchangeRequest(std::string_view Body) {
  const auto Type = unpackCompressed<WireType>(Body);
  if (!Type)
    return std::nullopt;
  ExchangeRequest Result;
  if (Type->Type == static_cast<std::uint8_t>(ExchangeType::Repair)) {
    const auto Wire = unpackCompressed<WireRepair>(Body);
    if (Wire)
      Result.Repair = fromWire(*Wire);
  } else {
    Result.Exchange = unpackExchange(Body);
  }
  if (!Result.Exchange && !Result.Repair)
    return std::nullopt;
  return Result;
}

std::optional<ExchangeMessage> unpackExchange(std::string_view Body) {
  auto Wire = unpackCompressed<WireExchange>(Body);
  if (!Wire || Wire->Type != static_cast<std::uint8_t>(ExchangeType::Exchange))
    return std::nullopt;
  return fromWire(std::move(*Wire));
}

std::optional<RepairReply> unpackRepairReply(std::string_view Body) {
  const auto Wire = unpackCompressed<WireRepairReply>(Body);
  RepairReply Result;
  if (!Wire || !readMembers(Wire->Members, Result.Members))
    return std::nullopt;
  return Result;
}

std::optional<FetchRequest> unpackFetch(std::string_view Body) {
  const auto Wire = unpackCompressed<WireFetch>(Body);
  if (!Wire)
    return std::nullopt;
  const auto Wanted = fromWire(Wire->Wanted);
  FetchRequest Result;
  if (!Wanted || !readOptional(Wire->Base, Result.Base))
    return std::nullopt;
  Result.Wanted = *Wanted;
  return Result;
}

std::optional<FetchReply> unpackFetchReply(std::string_view Body) {
  auto Wire = unpackCompressed<WireFetchReply>(Body);
  if (!Wire || Wire->Files.size() > MaxBundleFiles ||
      Wire->Removed.size() > MaxBundleFiles)
    return std::nullopt;
  FetchReply Result;
  if (Wire->WholeRevision.size() == 1) {
    Result.Whole =
        IntentBundle{Wire->WholeRevision.front(),
                     fromWire(std::move(Wire->Files)), Wire->WholeNumber};
    return Result;
  }
  if (Wire->DeltaVersions.size() != 2)
    return Wire->DeltaVersions.empty() ? std::optional(Result) : std::nullopt;
  const auto Base = fromWire(Wire->DeltaVersions[0]);
  const auto Target = fromWire(Wire->DeltaVersions[1]);
  if (!Base || !Target)
    return std::nullopt;
  Result.Delta = BundleDelta{*Base, *Target, fromWire(std::move(Wire->Files)),
                             std::move(Wire->Removed)};
  return Result;
}

} // namespace fescuewood
