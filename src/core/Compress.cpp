#include "core/Compress.h"

#include <algorithm>

#include <zlib.h>

namespace fescuewood {

namespace {

/// Negative window bits omit zlib's header and checksum: messages between nodes
/// are authenticated, and configuration versions are verified by digest.
constexpr int RawWindowBits = -15;
constexpr int MemoryLevel = 8;

/// Initial size of the decompression buffer, which doubles when it is full.
constexpr std::size_t InitialBufferBytes = 4096;

Bytef *zlibInput(std::string_view Bytes) {
  // zlib takes a non-const pointer to its input but does not modify it.
  return reinterpret_cast<Bytef *>(const_cast<char *>(Bytes.data()));
}

} // namespace

std::string compress(std::string_view Bytes) {
  z_stream Stream{};
  if (deflateInit2(&Stream, Z_DEFAULT_COMPRESSION, Z_DEFLATED, RawWindowBits,
                   MemoryLevel, Z_DEFAULT_STRATEGY) != Z_OK)
    return {};
  std::string Result(deflateBound(&Stream, Bytes.size()), '\0');
  Stream.next_in = zlibInput(Bytes);
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
  Stream.next_in = zlibInput(Compressed);
  Stream.avail_in = static_cast<uInt>(Compressed.size());
  std::string Result;
  int Status = Z_OK;
  while (Status == Z_OK && Result.size() < MaxBytes) {
    const std::size_t PreviousSize = Result.size();
    Result.resize(
        std::min(std::max(InitialBufferBytes, 2 * PreviousSize), MaxBytes));
    Stream.next_out = reinterpret_cast<Bytef *>(Result.data() + PreviousSize);
    Stream.avail_out = static_cast<uInt>(Result.size() - PreviousSize);
    Status = inflate(&Stream, Z_NO_FLUSH);
    Result.resize(Result.size() - Stream.avail_out);
  }
  const bool Complete = Status == Z_STREAM_END && Stream.avail_in == 0;
  inflateEnd(&Stream);
  if (!Complete)
    return std::nullopt;
  return Result;
}

} // namespace fescuewood
