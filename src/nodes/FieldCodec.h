/// \file
/// Writes and reads the fields of a call message as one msgpack array.
///
/// \ref FieldWriter and \ref FieldReader have the same functions, so that one
/// list of a message's fields serves both directions.

#ifndef FESCUEWOOD_NODES_FIELDCODEC_H
#define FESCUEWOOD_NODES_FIELDCODEC_H

#include "calls/Call.h"

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

/// Longest span of time that a message may name; a longer one is cut to it.
inline constexpr DurationMs MaxFieldSpan{24LL * 60 * 60 * 1000};

/// Writes the fields in order; bounds are the reader's to check.
class FieldWriter {
public:
  FieldWriter(std::uint32_t Fields, std::size_t LikelyBytes);

  /// The bytes written so far.
  std::string text() const { return {Buffer.data(), Buffer.size()}; }

  template <std::unsigned_integral Number>
  void number(Number Value, std::uint64_t /*Max*/ = 0) {
    Out.pack(Value);
  }
  template <typename Enum> void choice(Enum Value, Enum /*Last*/) {
    Out.pack(static_cast<std::uint8_t>(Value));
  }
  void flag(bool Value) { Out.pack(Value); }
  void span(DurationMs Value);
  void id(const CallId &Value);
  void bytes(std::string_view Value, std::size_t Max = 0);
  void headers(const std::vector<Header> &Value);
  void reason(ResultCode Value);
  void httpStatus(int Value);

private:
  msgpack::sbuffer Buffer;
  msgpack::packer<msgpack::sbuffer> Out{Buffer};
};

/// Reads the fields in order. The first one that is missing, of another type
/// or out of bounds makes it invalid, and all later ones keep their values.
class FieldReader {
public:
  FieldReader(const msgpack::object &Array, std::size_t Fields);

  bool valid() const { return Valid; }

  template <std::unsigned_integral Number>
  void number(Number &Value,
              std::uint64_t Max = std::numeric_limits<Number>::max()) {
    if (const msgpack::object *Read = nextNumber(Max))
      Value = static_cast<Number>(Read->via.u64);
  }
  template <typename Enum> void choice(Enum &Value, Enum Last) {
    if (const msgpack::object *Read =
            nextNumber(static_cast<std::uint64_t>(Last)))
      Value = static_cast<Enum>(Read->via.u64);
  }
  void flag(bool &Value);
  void span(DurationMs &Value);
  void id(CallId &Value);
  void bytes(std::string &Value, std::size_t Max);
  void headers(std::vector<Header> &Value);
  /// A newer node may name a reason that is not known here yet.
  void reason(ResultCode &Value);
  void httpStatus(int &Value);

private:
  const msgpack::object *next(msgpack::type::object_type Type);
  const msgpack::object *nextNumber(std::uint64_t Max);

  std::span<const msgpack::object> Rest;
  bool Valid = true;
};

} // namespace fescuewood

#endif // FESCUEWOOD_NODES_FIELDCODEC_H
