#include "core/Compress.h"

#include <algorithm>

#include <zlib.h>

namespace fescuewood {

namespace {

/// Negative window bits leave out zlib's header and checksum: messages are
/// sealed, and versions are checked by their digest.
constexpr int RawWindowBits = -15;
constexpr int MemoryLevel = 8;

/// Restored text grows in steps of this at first, and doubles then.
constexpr std::size_t FirstBytes = 4096;

Bytef *input(std::string_view Bytes) {
  // zlib takes its input as not const and does not change it.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
}

} // namespace

std::string compress(std::string_view Bytes) {
  z_stream Stream{};
  if (deflateInit2(&Stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, RawWindowBits,
                   MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    return {};
  std::string Result(deflateBound(&Stream, Bytes.size()), '\0');
  Stream.next_in = input(Bytes);
  Stream.avail_in = static_cast<uInt>(Bytes.size());
  Stream.next_out = reinterpret_cast<Bytef *>(Result.data());
  Stream.avail_out = static_cast<uInt>(Result.size());
  deflate(&Stream, Z_FINISH);
  Result.resize(Stream.total_out);
  deflateEnd(&Stream);
  return Result;
}

std::optional<std::string> decompress(std::string_view Compressed,
                                      std::size_t MaxBytes) {
  z_stream Stream{};
  if (inflateInit2(&Stream, RawWindowBits) != Z_OK)
    return std::nullopt;
  Stream.next_in = input(Compressed);
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  std::string Result;
  int State = Z_OK;
  while (State == Z_OK && Result.size() < MaxBytes) {
    const std::size_t Had = Result.size();
    Result.resize(std::min(std::max(FirstBytes, 2 * Had), MaxBytes));
    Stream.next_out = reinterpret_cast<Bytef *>(Result.data() + Had);
    Stream.avail_out = static_cast<uInt>(Result.size() - Had);
    State = inflate(&Stream, Z_NO_FLUSH);
    Result.resize(Result.size() - Stream.avail_out);
  }
  const bool Whole = State == Z_STREAM_END && Stream.avail_in == 0;
  inflateEnd(&Stream);
  if (!Whole)
    return std::nullopt;
  return Result;
}

} // namespace fescuewood
