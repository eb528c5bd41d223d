/// \file
/// Encoder and decoder for the fields of a call message as one msgpack array.
///
/// \ref FieldWriter and \ref FieldReader have the same member functions, so
/// that one list of a message's fields serves both directions.

#ifndef FESCUEWOOD_NODES_FIELDCODEC_H
#define FESCUEWOOD_NODES_FIELDCODEC_H

#include "calls/Call.h"
#include "nodes/StringOutput.h"

#include <msgpack.hpp>

#include <concepts>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace fescuewood {

/// Longest time span in a message. Longer ones are clamped when written;
/// \ref FieldReader refuses them.
inline constexpr DurationMs MaxFieldSpan{24LL * 60 * 60 * 1000};

/// Writes fields in order. Only the reader checks bounds.
class FieldWriter {
public:
  FieldWriter(std::uint32_t Fields, std::size_t TypicalBytes);

  /// The encoded bytes, which the writer gives up.
  std::string take();

  template <std::unsigned_integral Number>
  void number(Number Value, std::uint64_t /*Max*/ = 0) {
    Packer.pack(Value);
  }
  template <typename Enum> void choice(Enum Value, Enum /*Last*/) {
    Packer.pack(static_cast<std::uint8_t>(Value));
  }
  void flag(bool Value) { Packer.pack(Value); }
  void span(DurationMs Value);
  void id(const CallId &Value);
  void bytes(std::string_view Value, std::size_t Max = 0);
  void headers(const std::vector<Header> &Value, std::size_t Max = 0);
  void reason(ResultCode Value);
  void httpStatus(int Value);

private:
  StringOutput Output;
  msgpack::packer<StringOutput> Packer{Output};
};

/// Reads fields in order. The first field that is missing, of the wrong type or
/// out of bounds makes the reader invalid; later fields keep their values.
class FieldReader {
public:
  FieldReader(const msgpack::object &Array, std::size_t Fields);

  bool valid() const { return Valid; }

  template <std::unsigned_integral Number>
  void number(Number &Value,
              std::uint64_t Max = std::numeric_limits<Number>::max()) {
    if (const msgpack::object *Object = nextNumber(Max))
      Value = static_cast<Number>(Object->via.u64);
  }
  template <typename Enum> void choice(Enum &Value, Enum Last) {
    if (const msgpack::object *Object =
            nextNumber(static_cast<std::uint64_t>(Last)))
      Value = static_cast<Enum>(Object->via.u64);
  }
  void flag(bool &Value);
  void span(DurationMs &Value);
  void id(CallId &Value);
  void bytes(std::string &Value, std::size_t Max);
  void headers(std::vector<Header> &Value, std::size_t Max);
  /// A reason that is not known here, as a newer node may send, is read as
  /// CallMessageMalformed.
  void reason(ResultCode &Value);
  void httpStatus(int &Value);

private:
  const msgpack::object *next(msgpack::type::object_type Type);
  const msgpack::object *nextNumber(std::uint64_t Max);

  std::span<const msgpack::object> Remaining;
  bool Valid = true;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_FIELDCODEC_H
