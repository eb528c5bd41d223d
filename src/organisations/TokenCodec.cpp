#include "organisations/TokenCodec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>

namespace fescuewood {

namespace {

constexpr std::uint32_t RequestFields = 6;
constexpr std::uint32_t GrantFields = 8;
constexpr std::size_t MaxNameBytes = 256;
constexpr std::int64_t MaxSpanMs = 24LL * 3600 * 1000;

using Packer = msgpack::packer<msgpack::sbuffer>;

float roundedDown(double Value) {
  const auto Narrow = static_cast<float>(Value);
  if (static_cast<double>(Narrow) <= Value)
    return Narrow;
  return std::nextafter(Narrow, -std::numeric_limits<float>::infinity());
}

/// Reads the fields of one item in order and records whether all are valid.
class FieldReader {
public:
  FieldReader(const msgpack::object &Item, std::uint32_t Fields) {
    Valid = Item.type == msgpack::type::ARRAY && Item.via.array.size == Fields;
    if (Valid)
      Next = Item.via.array.ptr;
  }

  std::string text() {
    const msgpack::object *O = take(msgpack::type::STR);
    if (!O || O->via.str.size > MaxNameBytes)
      return fail(std::string());
    return {O->via.str.ptr, O->via.str.size};
  }

  std::uint64_t number() {
    const msgpack::object *O = take(msgpack::type::POSITIVE_INTEGER);
    return O ? O->via.u64 : fail(std::uint64_t{0});
  }

  /// Reads a finite number that is not negative. The library packs integral
  /// values as integers.
  double amount() {
    if (!Valid)
      return 0;
    const msgpack::object &O = *Next++;
    if (O.type == msgpack::type::POSITIVE_INTEGER)
      return static_cast<double>(O.via.u64);
    const bool IsFloat = O.type == msgpack::type::FLOAT32;
    if (!IsFloat || !std::isfinite(O.via.f64) || O.via.f64 < 0)
      return fail(0.0);
    return O.via.f64;
  }

  DurationMs span() {
    const std::uint64_t Value = number();
    if (Value > static_cast<std::uint64_t>(MaxSpanMs))
      return fail(DurationMs(0));
    return DurationMs(static_cast<std::int64_t>(Value));
  }

  bool valid() const { return Valid; }

private:
  const msgpack::object *take(msgpack::type::object_type Type) {
    if (!Valid)
      return nullptr;
    const msgpack::object *O = Next++;
    return O->type == Type ? O : nullptr;
  }

  template <typename T> T fail(T Value) {
    Valid = false;
    return Value;
  }

  bool Valid = false;
  const msgpack::object *Next = nullptr;
};

TokenRequest readRequest(FieldReader &Fields) {
  TokenRequest Request;
  Request.Organisation = Fields.text();
  Request.Sequence = Fields.number();
  Request.ActiveSequence = Fields.number();
  Request.Demand = Fields.amount();
  Request.Held = Fields.amount();
  const std::uint64_t Need = Fields.number();
  Request.Need = static_cast<std::uint32_t>(
      std::min<std::uint64_t>(Need, std::numeric_limits<std::uint32_t>::max()));
  return Request;
}

TokenGrant readGrant(FieldReader &Fields) {
  TokenGrant Grant;
  Grant.Organisation = Fields.text();
  Grant.Sequence = Fields.number();
  Grant.Tokens = Fields.amount();
  Grant.Rate = Fields.amount();
  Grant.Cap = Fields.amount();
  Grant.Term = Fields.span();
  Grant.RequestDelay = Fields.span();
  Grant.TokenDelay = Fields.span();
  return Grant;
}

template <typename Item>
std::optional<std::vector<Item>> decode(std::string_view Bytes,
                                        std::uint32_t FieldCount,
                                        Item (*Read)(FieldReader &)) {
  if (Bytes.empty() || Bytes.size() > MaxTokenMessageBytes)
    return std::nullopt;
  try {
    const msgpack::unpack_limit Limit(MaxTokenItems, 0, MaxNameBytes, 0, 0, 3);
    std::size_t Offset = 0;
    const auto Handle = msgpack::unpack(Bytes.data(), Bytes.size(), Offset,
                                        nullptr, nullptr, Limit);
    const msgpack::object &Root = Handle.get();
    if (Offset != Bytes.size() || Root.type != msgpack::type::ARRAY)
      return std::nullopt;
    std::vector<Item> Items;
    for (std::uint32_t I = 0; I < Root.via.array.size; ++I) {
      FieldReader Fields(Root.via.array.ptr[I], FieldCount);
      Items.push_back(Read(Fields));
      if (!Fields.valid())
        return std::nullopt;
    }
    return Items;
  } catch (const std::exception &) {
    // The library throws on malformed bytes.
    return std::nullopt;
  }
}

std::string text(const msgpack::sbuffer &Buffer) {
  return {Buffer.data(), Buffer.size()};
}

} // namespace

std::string encodeTokenRequests(std::span<const TokenRequest> TokenRequests) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(static_cast<std::uint32_t>(TokenRequests.size()));
  for (const TokenRequest &Request : TokenRequests) {
    Out.pack_array(RequestFields);
    Out.pack(Request.Organisation);
    Out.pack(Request.Sequence);
    Out.pack(Request.ActiveSequence);
    Out.pack(static_cast<float>(Request.Demand));
    Out.pack(static_cast<float>(Request.Held));
    Out.pack(Request.Need);
  }
  return text(Buffer);
}

std::string encodeGrants(std::span<const TokenGrant> Grants) {
  msgpack::sbuffer Buffer;
  Packer Out(Buffer);
  Out.pack_array(static_cast<std::uint32_t>(Grants.size()));
  for (const TokenGrant &Grant : Grants) {
    Out.pack_array(GrantFields);
    Out.pack(Grant.Organisation);
    Out.pack(Grant.Sequence);
    Out.pack(roundedDown(Grant.Tokens));
    Out.pack(roundedDown(Grant.Rate));
    Out.pack(roundedDown(Grant.Cap));
    Out.pack(static_cast<std::uint64_t>(Grant.Term.Value));
    Out.pack(static_cast<std::uint64_t>(Grant.RequestDelay.Value));
    Out.pack(static_cast<std::uint64_t>(Grant.TokenDelay.Value));
  }
  return text(Buffer);
}

std::optional<std::vector<TokenRequest>>
decodeTokenRequests(std::string_view Bytes) {
  return decode<TokenRequest>(Bytes, RequestFields, &readRequest);
}

std::optional<std::vector<TokenGrant>> decodeGrants(std::string_view Bytes) {
  return decode<TokenGrant>(Bytes, GrantFields, &readGrant);
}

} // namespace fescuewood
