/// \file
/// Follows the lines of a request byte by byte and accepts only what RFC 9112
/// allows a sender to write.
///
/// http_parser, which RESTinio and \ref RequestGuard read requests with,
/// forgives bare line feeds, folded lines, blanks inside field names and bad
/// ends of chunks. Two readers that forgive different things disagree about
/// where a request ends. So the lines are held to the grammar first.

#ifndef FESCUEWOOD_CALLERS_REQUESTLINES_H
#define FESCUEWOOD_CALLERS_REQUESTLINES_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescuewood {

/// The lines of one connection's requests. How a body is framed is told by
/// whoever reads the fields.
class RequestLines {
public:
  /// Takes bytes of one part of the request: a head, a body, or a line of a
  /// chunked one. Returns those that belong to it; fewer than given when the
  /// part ends, or when the byte behind them is wrong.
  std::string_view takePart(std::string_view Bytes);

  /// False once a byte was wrong.
  bool valid() const { return At != State::Wrong; }

  /// True from the end of a head until it is said what follows it.
  bool headEnded() const { return At == State::HeadEnded; }

  /// Says that a body of a length, or chunks, follow the head.
  void expectBody(std::uint64_t Length);
  void expectChunks();

private:
  enum class State {
    LineStart, ///< Of a request line, field or trailer field.
    RequestLine,
    FieldName,
    FieldValue,
    LineFeed,      ///< After the carriage return of such a line.
    EmptyLineFeed, ///< After the carriage return of an empty line.
    HeadEnded,
    Body,
    ChunkSize,
    ChunkBlank, ///< Between a chunk's size and its extension.
    ChunkExtension,
    ChunkLineFeed,
    ChunkData,
    ChunkDataReturn,
    ChunkDataFeed,
    Wrong
  };

  /// Takes a byte of a line; returns whether a part ends with it.
  bool take(unsigned char Byte);
  void takeLineStart(unsigned char Byte);
  void takeRequestLine(unsigned char Byte);
  void takeFieldName(unsigned char Byte);
  void takeText(unsigned char Byte, State AfterReturn);
  bool takeEmptyLineFeed(unsigned char Byte);
  void takeChunkSize(unsigned char Byte);
  void takeChunkBlank(unsigned char Byte);
  bool takeChunkLineFeed(unsigned char Byte);
  void step(unsigned char Byte, unsigned char Wanted, State Next);
  void startRequest();

  State At = State::LineStart;
  bool FirstLine = true;             ///< The request line is still to come.
  bool InTrailer = false;            ///< The lines are those behind the chunks.
  unsigned Blanks = 0;               ///< In the request line.
  unsigned char Last = 0;            ///< Byte before, in the request line.
  std::optional<std::uint64_t> Size; ///< Of the chunk, as far as it was read.
  std::uint64_t Left = 0;            ///< Bytes to come of the body or chunk.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_REQUESTLINES_H
