#include "nodes/RelayMessages.h"

#include "nodes/CompressedBody.h"
#include "nodes/FieldCodec.h"

#include <algorithm>

namespace fescuewood {

namespace {

struct WireItem {
  std::uint8_t Subject = 0;
  std::string Key, Name, Value;
  std::uint64_t Revision = 0;
  bool Removed = false;
  bool Unreadable = false;
  MSGPACK_DEFINE(Subject, Key, Name, Value, Revision, Removed, Unreadable)
};

struct WireItems {
  std::vector<WireItem> Items;
  MSGPACK_DEFINE(Items)
};

struct WireRequest {
  std::uint64_t AfterRevision = 0;
  std::uint64_t WaitMs = 0;
  MSGPACK_DEFINE(AfterRevision, WaitMs)
};

struct WireReply {
  bool Whole = false;
  std::uint64_t Revision = 0;
  std::vector<std::uint64_t> ProofAgeMs; ///< At most one.
  std::uint64_t HeldMs = 0;
  std::string Items;
  MSGPACK_DEFINE(Whole, Revision, ProofAgeMs, HeldMs, Items)
};

std::uint64_t toWire(DurationMs Span) {
  return static_cast<std::uint64_t>(
      std::clamp(Span, DurationMs(0), MaxFieldSpan).Value);
}

/// A span that is too long is clamped here too.
DurationMs spanFromWire(std::uint64_t Ms) {
  constexpr auto MaxMs = static_cast<std::uint64_t>(MaxFieldSpan.Value);
  return DurationMs(static_cast<std::int64_t>(std::min(Ms, MaxMs)));
}

bool isValid(const WireItem &Item) {
  return Item.Subject <= static_cast<std::uint8_t>(StoreSubject::Other) &&
         !Item.Key.empty() && Item.Key.size() <= MaxItemNameBytes &&
         Item.Name.size() <= MaxItemNameBytes;
}

} // namespace

std::string packItems(const std::vector<StoreChange> &Items) {
  WireItems Wire;
  Wire.Items.reserve(Items.size());
  for (const StoreChange &Item : Items)
    Wire.Items.push_back({static_cast<std::uint8_t>(Item.Subject), Item.Key,
                          Item.Name, Item.Value, Item.Revision, Item.Removed,
                          Item.Unreadable});
  return packCompressed(Wire);
}

std::string packRelayRequest(const RelayRequest &Message) {
  return packBody(WireRequest{Message.AfterRevision, toWire(Message.Wait)});
}

std::string packRelayReply(const RelayReply &Message) {
  WireReply Wire;
  Wire.Whole = Message.Whole;
  Wire.Revision = Message.Revision;
  if (Message.ProofAge)
    Wire.ProofAgeMs = {toWire(*Message.ProofAge)};
  Wire.HeldMs = toWire(Message.Held);
  Wire.Items = Message.Items;
  return packBody(Wire);
}

std::optional<std::vector<StoreChange>> unpackItems(std::string_view Body) {
  auto Wire = unpackCompressed<WireItems>(Body);
  if (!Wire)
    return std::nullopt;
  std::vector<StoreChange> Result;
  Result.reserve(Wire->Items.size());
  for (WireItem &Item : Wire->Items) {
    if (!isValid(Item))
      return std::nullopt;
    Result.push_back({static_cast<StoreSubject>(Item.Subject),
                      std::move(Item.Key), std::move(Item.Name),
                      std::move(Item.Value), Item.Revision, Item.Removed,
                      Item.Unreadable});
  }
  return Result;
}

std::optional<RelayRequest> unpackRelayRequest(std::string_view Body) {
  const auto Wire = unpackBody<WireRequest>(Body);
  if (!Wire)
    return std::nullopt;
  return RelayRequest{Wire->AfterRevision, spanFromWire(Wire->WaitMs)};
}

std::optional<RelayReply> unpackRelayReply(std::string_view Body) {
  auto Wire = unpackBody<WireReply>(Body);
  if (!Wire || Wire->ProofAgeMs.size() > 1)
    return std::nullopt;
  RelayReply Result;
  Result.Whole = Wire->Whole;
  Result.Revision = Wire->Revision;
  if (!Wire->ProofAgeMs.empty())
    Result.ProofAge = spanFromWire(Wire->ProofAgeMs.front());
  Result.Held = spanFromWire(Wire->HeldMs);
  Result.Items = std::move(Wire->Items);
  return Result;
}

} // namespace fescuewood
