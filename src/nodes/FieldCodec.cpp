#include "nodes/FieldCodec.h"

#include "nodes/CallMessages.h"

#include <algorithm>

namespace fescuewood {

namespace {

/// The part of a message's memory, as a divisor, that may stay unused.
constexpr std::size_t UnusedShareDivisor = 8;

} // namespace

FieldWriter::FieldWriter(std::uint32_t Fields, std::size_t TypicalBytes) {
  Output.Bytes.reserve(TypicalBytes);
  Packer.pack_array(Fields);
}

std::string FieldWriter::take() {
  std::string &Bytes = Output.Bytes;
  if (Bytes.capacity() - Bytes.size() > Bytes.size() / UnusedShareDivisor)
    Bytes.shrink_to_fit();
  return std::move(Bytes);
}

void FieldWriter::span(DurationMs Value) {
  Packer.pack(std::clamp(Value, DurationMs(0), MaxFieldSpan).Value);
}

void FieldWriter::id(const CallId &Value) {
  Packer.pack(Value.Process);
  Packer.pack(Value.Sequence);
}

void FieldWriter::bytes(std::string_view Value, std::size_t /*Max*/) {
  const auto Size = static_cast<std::uint32_t>(Value.size());
  Packer.pack_bin(Size);
  Packer.pack_bin_body(Value.data(), Size);
}

void FieldWriter::headers(const std::vector<Header> &Value,
                          std::size_t /*Max*/) {
  Packer.pack_array(static_cast<std::uint32_t>(Value.size() * 2));
  for (const Header &Field : Value) {
    bytes(Field.Name);
    bytes(Field.Value);
  }
}

void FieldWriter::reason(ResultCode Value) {
  Packer.pack(static_cast<std::uint16_t>(Value));
}

void FieldWriter::httpStatus(int Value) {
  Packer.pack(static_cast<std::uint16_t>(Value));
}

FieldReader::FieldReader(const msgpack::object &Array, std::size_t Fields)
    : Valid(Array.type == msgpack::type::ARRAY &&
            Array.via.array.size == Fields) {
  if (Valid)
    Remaining = {Array.via.array.ptr, Array.via.array.size};
}

void FieldReader::flag(bool &Value) {
  if (const msgpack::object *Object = next(msgpack::type::BOOLEAN))
    Value = Object->via.boolean;
}

void FieldReader::span(DurationMs &Value) {
  constexpr auto MaxSpan = static_cast<std::uint64_t>(MaxFieldSpan.Value);
  if (const msgpack::object *Object = nextNumber(MaxSpan))
    Value = DurationMs(static_cast<std::int64_t>(Object->via.u64));
}

void FieldReader::id(CallId &Value) {
  number(Value.Process);
  number(Value.Sequence);
}

void FieldReader::bytes(std::string &Value, std::size_t Max) {
  const msgpack::object *Object = next(msgpack::type::BIN);
  Valid = Object && Object->via.bin.size <= Max;
  if (Valid)
    Value.assign(Object->via.bin.ptr, Object->via.bin.size);
}

void FieldReader::headers(std::vector<Header> &Value, std::size_t Max) {
  const msgpack::object *Object = next(msgpack::type::ARRAY);
  Valid = Object && Object->via.array.size <= Max * 2 &&
          Object->via.array.size % 2 == 0;
  if (!Valid)
    return;
  FieldReader Nested(*Object, Object->via.array.size);
  Value.resize(Object->via.array.size / 2);
  for (Header &Field : Value) {
    Nested.bytes(Field.Name, MaxFieldBytes);
    Nested.bytes(Field.Value, MaxFieldBytes);
  }
  Valid = Nested.valid();
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
  Valid = Valid && !Remaining.empty() && Remaining.front().type == Type;
  if (!Valid)
    return nullptr;
  const msgpack::object *Value = &Remaining.front();
  Remaining = Remaining.subspan(1);
  return Value;
}

const msgpack::object *FieldReader::nextNumber(std::uint64_t Max) {
  const msgpack::object *Value = next(msgpack::type::POSITIVE_INTEGER);
  Valid = Value && Value->via.u64 <= Max;
  return Valid ? Value : nullptr;
}

} // namespace fescuewood
