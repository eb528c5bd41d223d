/// \file
/// A strict byte-level parser for request lines, field lines and chunk framing
/// that accepts only what RFC 9112 allows a sender to generate.
///
/// http_parser, which RESTinio and \ref RequestGuard use, tolerates bare line
/// feeds, folded lines, whitespace in field names and malformed chunk endings.
/// Parsers with different tolerances disagree about where a request ends, so
/// the grammar is enforced first.

#ifndef FESCUEWOOD_CALLERS_REQUESTLINES_H
#define FESCUEWOOD_CALLERS_REQUESTLINES_H

#include <cstdint>
#include <optional>
#include <string_view>

namespace fescuewood {

/// Parses the requests of one connection. The caller interprets the fields and
/// specifies the body framing after each head.
class RequestLines {
public:
  /// Consumes bytes of one part of the request: a head, a body, or a line of a
  /// chunked body. Returns the consumed prefix of \p Bytes, which is shorter
  /// than \p Bytes when the part ends or the next byte is invalid.
  std::string_view takePart(std::string_view Bytes);

  /// False after an invalid byte.
  bool valid() const { return At != State::Wrong; }

  /// True from the end of a head until the body framing is specified.
  bool headEnded() const { return At == State::HeadEnded; }

  /// Specifies that a body of \p Length bytes follows the head.
  void expectBody(std::uint64_t Length);

  /// Specifies that a chunked body follows the head.
  void expectChunks();

private:
  enum class State {
    LineStart, ///< Start of a request, field or trailer line.
    RequestLine,
    FieldName,
    FieldValue,
    LineFeed,      ///< After the carriage return of a line.
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

  /// Consumes a byte of a line; returns whether it ends the current part.
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
  bool FirstLine = true;             ///< The next line is a request line.
  bool InTrailer = false;            ///< The last chunk has been read.
  unsigned Blanks = 0;               ///< Number of spaces in the request line.
  unsigned char Last = 0;            ///< Previous byte of the request line.
  std::optional<std::uint64_t> Size; ///< Chunk size parsed so far.
  std::uint64_t Left = 0;            ///< Remaining bytes of the body or chunk.
};

} // namespace fescuewood

#endif // FESCUEWOOD_CALLERS_REQUESTLINES_H
