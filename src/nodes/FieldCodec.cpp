#include "nodes/FieldCodec.h"

#include "nodes/CallMessages.h"

#include <algorithm>

namespace fescuewood {

FieldWriter::FieldWriter(std::uint32_t Fields, std::size_t LikelyBytes)
    : Buffer(LikelyBytes) {
  Out.pack_array(Fields);
}

void FieldWriter::span(DurationMs Value) {
  Out.pack(std::clamp(Value, DurationMs(0), MaxFieldSpan).Value);
}

void FieldWriter::id(const CallId &Value) {
  Out.pack(Value.Incarnation);
  Out.pack(Value.Sequence);
}

void FieldWriter::bytes(std::string_view Value, std::size_t /*Max*/) {
  const auto Size = static_cast<std::uint32_t>(Value.size());
  Out.pack_bin(Size);
  Out.pack_bin_body(Value.data(), Size);
}

void FieldWriter::headers(const std::vector<Header> &Value) {
  Out.pack_array(static_cast<std::uint32_t>(Value.size() * 2));
  for (const Header &Field : Value) {
    bytes(Field.Name);
    bytes(Field.Value);
  }
}

void FieldWriter::reason(ResultCode Value) {
  Out.pack(static_cast<std::uint16_t>(Value));
}

void FieldWriter::httpStatus(int Value) {
  Out.pack(static_cast<std::uint16_t>(Value));
}

FieldReader::FieldReader(const msgpack::object &Array, std::size_t Fields)
    : Valid(Array.type == msgpack::type::ARRAY &&
            Array.via.array.size == Fields) {
  if (Valid)
    Rest = {Array.via.array.ptr, Array.via.array.size};
}

void FieldReader::flag(bool &Value) {
  if (const msgpack::object *Read = next(msgpack::type::BOOLEAN))
    Value = Read->via.boolean;
}

void FieldReader::span(DurationMs &Value) {
  constexpr auto Most = static_cast<std::uint64_t>(MaxFieldSpan.Value);
  if (const msgpack::object *Read = nextNumber(Most))
    Value = DurationMs(static_cast<std::int64_t>(Read->via.u64));
}

void FieldReader::id(CallId &Value) {
  number(Value.Incarnation);
  number(Value.Sequence);
}

void FieldReader::bytes(std::string &Value, std::size_t Max) {
  const msgpack::object *Read = next(msgpack::type::BIN);
  Valid = Read && Read->via.bin.size <= Max;
  if (Valid)
    Value.assign(Read->via.bin.ptr, Read->via.bin.size);
}

void FieldReader::headers(std::vector<Header> &Value) {
  const msgpack::object *Read = next(msgpack::type::ARRAY);
  Valid = Read && Read->via.array.size <= MaxHeaderFields * 2 &&
          Read->via.array.size % 2 == 0;
  if (!Valid)
    return;
  FieldReader Names(*Read, Read->via.array.size);
  Value.resize(Read->via.array.size / 2);
  for (Header &Field : Value) {
    Names.bytes(Field.Name, MaxFieldBytes);
    Names.bytes(Field.Value, MaxFieldBytes);
  }
  Valid = Names.valid();
}

void FieldReader::reason(ResultCode &Value) {
  std::uint16_t Number = 0;
  number(Number);
  Value = resultFromNumber(Number).value_or(ResultCode::CallMessageMalformed);
}

void FieldReader::httpStatus(int &Value) {
  constexpr std::uint64_t MaxStatus = 999;
  std::uint16_t Number = 0;
  number(Number, MaxStatus);
  Value = Number;
}

const msgpack::object *FieldReader::next(msgpack::type::object_type Type) {
  Valid = Valid && !Rest.empty() && Rest.front().type == Type;
  if (!Valid)
    return nullptr;
  const msgpack::object *Value = &Rest.front();
  Rest = Rest.subspan(1);
  return Value;
}

const msgpack::object *FieldReader::nextNumber(std::uint64_t Max) {
  const msgpack::object *Value = next(msgpack::type::POSITIVE_INTEGER);
  Valid = Value && Value->via.u64 <= Max;
  return Valid ? Value : nullptr;
}

} // namespace fescuewood
